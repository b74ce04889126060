import { expect } from 'chai'
import { runProcedure, type EffectHandlers } from 'dotterelspur'
import { DrainEffectKind, drainNode, type DrainEffect } from '../../process/DrainProcedure.js'

interface DrainFixture {
  readonly steps: DrainEffectKind[]
  readonly handlers: EffectHandlers<DrainEffect>
}

/** Handlers that record the steps; requests end at the `waits`-th wait. */
function createDrainFixture (waits: number): DrainFixture {
  const steps: DrainEffectKind[] = []
  const note = (kind: DrainEffectKind) => () => { steps.push(kind) }
  let waited = 0
  return {
    steps,
    handlers: {
      [DrainEffectKind.AnnounceDraining]: note(DrainEffectKind.AnnounceDraining),
      [DrainEffectKind.RefuseNewWork]: note(DrainEffectKind.RefuseNewWork),
      [DrainEffectKind.RegisterDraining]: note(DrainEffectKind.RegisterDraining),
      [DrainEffectKind.HandOverLeases]: note(DrainEffectKind.HandOverLeases),
      [DrainEffectKind.WaitForRequests]: () => {
        steps.push(DrainEffectKind.WaitForRequests)
        waited += 1
        return waited >= waits
      },
      [DrainEffectKind.ReportWaiting]: note(DrainEffectKind.ReportWaiting),
      [DrainEffectKind.WaitForSuccessors]: note(DrainEffectKind.WaitForSuccessors),
      [DrainEffectKind.Close]: note(DrainEffectKind.Close)
    }
  }
}

describe('drainNode', () => {
  it('leaves the directory before it refuses, and closes last', async () => {
    const { steps, handlers } = createDrainFixture(1)
    await runProcedure(drainNode(1_000), handlers)
    expect(steps).to.deep.equal([
      DrainEffectKind.AnnounceDraining, DrainEffectKind.RefuseNewWork, DrainEffectKind.RegisterDraining, DrainEffectKind.HandOverLeases,
      DrainEffectKind.WaitForRequests, DrainEffectKind.WaitForSuccessors, DrainEffectKind.Close
    ])
  })

  // Symptom: a planned stop cuts off a long answer.
  // Sequence: a request outlasts the drain time-out; the node closes its listeners while the answer streams.
  // Cause: the time-out was taken for the end of the wait rather than for the time to say that it still waits.
  it('waits for requests beyond the time-out and says so each time', async () => {
    const { steps, handlers } = createDrainFixture(4)
    await runProcedure(drainNode(1_000), handlers)
    expect(steps.filter((step) => step === DrainEffectKind.ReportWaiting)).to.have.length(3)
    expect(steps.indexOf(DrainEffectKind.Close)).to.be.greaterThan(steps.lastIndexOf(DrainEffectKind.WaitForRequests))
  })
})

import { expect } from 'chai'
import fc from 'fast-check'
import { pack, unpack } from 'msgpackr'
import { addClassSamples, ClassDemandMeter, NO_DEADLINES_OBSERVED, type ClassSamples, type NodeObservation } from 'dotterelspur'
import { ObservationCodec, type EncodedObservation } from '../../connection/ObservationCodec.js'

const EMPTY: NodeObservation = { inFlight: {}, flows: {}, demand: {}, speeds: {}, pauses: {}, firstEvents: {}, deadlines: NO_DEADLINES_OBSERVED, limits: {}, rests: {}, leaving: [] }
const POOLS = ['inference/bode459818', 'inference/gose29415d', 'inference/wela70312c']
const NODES = 330
const WORKSPACES = 1_000

/** What one node observes of a thousand workspaces in three pools. */
function classesOf (node: number): ClassSamples {
  const meter = new ClassDemandMeter()
  for (const pool of POOLS) {
    for (let index = 0; index < 60; index++) meter.noteArrival(pool, { rank: index % 3, workspace: `workspace-${(node * 7 + index * index) % WORKSPACES}` }, 0)
  }
  return meter.localObservation(0)!
}

function sizeOf (observation: NodeObservation): number {
  return pack(new ObservationCodec().encode(observation)).length
}

describe('The observation field `classes`', () => {
  it('is decoded as it was encoded', () => {
    const classes: ClassSamples = { 'llm/small': [{ rank: 0, workspace: 4_294_967_295, requests: 12.25 }, { rank: 2, workspace: 0, requests: 3 }, { rank: 2, workspace: null, requests: 0.5 }] }
    const codec = new ObservationCodec()
    expect(codec.decode(unpack(pack(codec.encode({ ...EMPTY, classes }))) as EncodedObservation).classes).to.deep.equal(classes)
  })

  it('is absent from the messages of a node that has nothing to report, which are those of the previous build', () => {
    // Guards against messages that change in a deployment in which no two requests differ in class.
    const encoded = new ObservationCodec().encode(EMPTY)
    expect(Object.keys(encoded)).to.deep.equal(['inFlight', 'speeds', 'flows', 'demand', 'pauses', 'firstEvents', 'deadlines', 'leastDeadlineShare', 'limits', 'rests', 'leaving'])
    expect(new ObservationCodec().decode(encoded)).not.to.have.property('classes')
  })

  it('takes at most 0.5 KB of a node\'s observation and 1.2 KB of the aggregate with 330 nodes and 1,000 workspaces', () => {
    const all = Array.from({ length: NODES }, (_unused, node) => classesOf(node))
    const base = sizeOf(EMPTY)
    for (const classes of all) expect(sizeOf({ ...EMPTY, classes }) - base).to.be.at.most(512)
    expect(sizeOf({ ...EMPTY, classes: addClassSamples(all)! }) - base).to.be.at.most(1_229)
  })

  it('is bounded or ignored where it is malformed', () => {
    // Guards against a faulty node whose figures stop the exchange of observations or admission on all others.
    const value = fc.oneof(fc.double(), fc.integer(), fc.string(), fc.constantFrom(null, undefined, NaN, Infinity, -1))
    const malformed = fc.oneof(fc.jsonValue(), fc.dictionary(fc.string(), fc.oneof(value, fc.array(value, { maxLength: 9 }))))
    const codec = new ObservationCodec()
    fc.assert(fc.property(malformed, (classes) => {
      const decoded = codec.decode({ ...codec.encode(EMPTY), classes } as unknown as EncodedObservation)
      for (const sample of Object.values(decoded.classes ?? {}).flat()) expect(sample.requests).to.be.within(0, 10_000)
    }), { seed: 20_261_203, numRuns: 1_000 })
  })
})

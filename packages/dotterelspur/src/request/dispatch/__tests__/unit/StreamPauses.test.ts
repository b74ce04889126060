import { expect } from 'chai'
import { eventGapMs, maxPassMs } from '../../EngineTimes.js'
import { StreamPauses } from '../../StreamPauses.js'
import { ENGINE } from '../fixtures/SurgeReplay.js'

const PACE = 0.6
const PRESENT = 6

describe('StreamPauses', () => {
  it('allows the longest pass that an engine makes while nothing has been seen', () => {
    const limitMs = new StreamPauses().limitMs('small', ENGINE, PACE, PRESENT, 0)
    expect(limitMs).to.be.within(maxPassMs(ENGINE, PACE), maxPassMs(ENGINE, PACE) * 1.2)
  })

  it('comes down to a few passes of a model whose streams hardly pause', () => {
    const pauses = new StreamPauses()
    const usualMs = eventGapMs(ENGINE, PACE, PRESENT)
    for (let event = 0; event < 100; event++) pauses.noteGap('small', usualMs, event * usualMs)
    const limitMs = pauses.limitMs('small', ENGINE, PACE, PRESENT, 100 * usualMs)
    expect(limitMs).to.be.within(3 * usualMs, 4 * usualMs)
  })

  it('rises at once when long prompts are read between events, and never beyond the longest pass', () => {
    const pauses = new StreamPauses()
    const usualMs = eventGapMs(ENGINE, PACE, PRESENT)
    pauses.noteGap('small', usualMs, 0)
    const calmMs = pauses.limitMs('small', ENGINE, PACE, PRESENT, 0)
    pauses.noteGap('small', 4 * usualMs, 10)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 10)).to.be.greaterThan(1.2 * calmMs)
    pauses.noteGap('small', 5_000, 20)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 20)).to.be.at.most(maxPassMs(ENGINE, PACE) * 1.2)
  })

  it('goes by what all nodes have seen, which does not rise with their number', () => {
    // Symptom: with 195 nodes a stop is noticed after the longest pass that is possible, 450 ms, with 9 after 300. Sequence:
    // of 195 nodes one has always just seen an extreme pause. Cause: the longest of all nodes' pauses was told.
    const usualMs = eventGapMs(ENGINE, PACE, PRESENT)
    const limitMs = (nodes: number): number => {
      const pauses = new StreamPauses()
      pauses.noteGap('small', 2 * usualMs, 0)
      pauses.applyFleetObservation({ small: { longestSumMs: nodes * 2.5 * usualMs, nodes } })
      return pauses.limitMs('small', ENGINE, PACE, PRESENT, 0)
    }
    expect(limitMs(195)).to.be.closeTo(limitMs(9), 0.001)
    expect(limitMs(9)).to.be.within(3.9 * usualMs, 4.5 * usualMs + 20)
  })

  it('keeps models apart: one that reads long prompts says nothing of another', () => {
    const pauses = new StreamPauses()
    pauses.noteGap('small', 30, 0)
    pauses.noteGap('large', 250, 0)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 0)).to.be.below(pauses.limitMs('large', ENGINE, PACE, PRESENT, 0))
  })
})

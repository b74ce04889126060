import { expect } from 'chai'
import { eventGapMs, maxPassMs } from '../../EngineTimes.js'
import { StreamPauses } from '../../StreamPauses.js'
import { ENGINE } from '../fixtures/SurgeReplay.js'

const PACE = 0.6
const PRESENT = 6

describe('StreamPauses', () => {
  it('allows the longest pass of an engine while no pause has been observed', () => {
    const limitMs = new StreamPauses().limitMs('small', ENGINE, PACE, PRESENT, 0)
    expect(limitMs).to.be.within(maxPassMs(ENGINE, PACE), maxPassMs(ENGINE, PACE) * 1.2)
  })

  it('falls to a few passes for a model whose streams hardly pause', () => {
    const pauses = new StreamPauses()
    const usualMs = eventGapMs(ENGINE, PACE, PRESENT)
    for (let event = 0; event < 100; event++) pauses.noteGap('small', usualMs, event * usualMs)
    const limitMs = pauses.limitMs('small', ENGINE, PACE, PRESENT, 100 * usualMs)
    expect(limitMs).to.be.within(3 * usualMs, 4 * usualMs)
  })

  it('rises at once when long prompts are prefilled between events, but never beyond the longest pass', () => {
    const pauses = new StreamPauses()
    const usualMs = eventGapMs(ENGINE, PACE, PRESENT)
    pauses.noteGap('small', usualMs, 0)
    const calmMs = pauses.limitMs('small', ENGINE, PACE, PRESENT, 0)
    pauses.noteGap('small', 4 * usualMs, 10)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 10)).to.be.greaterThan(1.2 * calmMs)
    pauses.noteGap('small', 5_000, 20)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 20)).to.be.at.most(maxPassMs(ENGINE, PACE) * 1.2)
  })

  it('uses the mean of all nodes, which does not rise with their number', () => {
    // Guards against a limit that rises with the number of nodes: when the maximum over all nodes was broadcast, one of
    // 195 nodes had always just observed an extreme pause, so a stall was detected after 450 ms, the longest possible
    // pass, instead of 300 ms with 9 nodes.
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

  it('keeps models apart: one that prefills long prompts does not affect another', () => {
    const pauses = new StreamPauses()
    pauses.noteGap('small', 30, 0)
    pauses.noteGap('large', 250, 0)
    expect(pauses.limitMs('small', ENGINE, PACE, PRESENT, 0)).to.be.below(pauses.limitMs('large', ENGINE, PACE, PRESENT, 0))
  })
})

import { expect } from 'chai'
import { WeightLoadTracker } from '../../process/WeightLoadTracker.js'
import { createEndpoint } from '../fixtures/builders.js'

const MODEL = { model: 'large', size: 4, pace: 1, share: 1, loadMs: 16_000, warmMs: 1_600 }
const RATES = { loadsPerSecond: 5, loadsAtOnce: 7 }

describe('LoadMeter', () => {
  it('keeps to the loads at once and to those that begin in a second', () => {
    const tracker = new WeightLoadTracker()
    expect(tracker.allowance(RATES, 0)).to.equal(5)
    for (let count = 0; count < 5; count++) tracker.begin(`w${count}`, MODEL, 0)
    expect(tracker.allowance(RATES, 500)).to.equal(0)
    expect(tracker.allowance(RATES, 1_000)).to.equal(2)
    tracker.noteStagedModels(createEndpoint('w0', '10.0.0.1:1', { staged: ['large'] }))
    expect(tracker.allowance(RATES, 1_000)).to.equal(3)
  })

  it('counts what the node that decided before has begun', () => {
    // Symptom: all loads take twice as long for half a minute. Sequence: the deciding node is killed while seven loads are
    // under way; its successor begins seven more. Cause: the list shows loads only when they have ended.
    const former = new WeightLoadTracker()
    for (let count = 0; count < 7; count++) former.begin(`w${count}`, MODEL, 1_000)
    const successor = new WeightLoadTracker()
    successor.replace(former.inProgress(9_000), 500_000)
    expect(successor.allowance(RATES, 500_000)).to.equal(0)
    expect(successor.loading(500_000).get('w3')).to.equal('large')
    expect(successor.allowance(RATES, 500_000 + 24_000)).to.equal(5)
  })

  it('gives a host another try soon when nobody knows whether its load began', () => {
    const tracker = new WeightLoadTracker()
    tracker.begin('w0', MODEL, 0)
    tracker.markUncertain('w0', 1_000)
    expect(tracker.loading(5_999).has('w0')).to.equal(true)
    expect(tracker.loading(6_000).has('w0')).to.equal(false)
  })
})

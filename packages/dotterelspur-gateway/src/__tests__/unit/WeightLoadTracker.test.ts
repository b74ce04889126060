import { expect } from 'chai'
import { WeightLoadTracker } from '../../process/WeightLoadTracker.js'
import { createEndpoint } from '../fixtures/builders.js'

const MODEL = { model: 'large', size: 4, pace: 1, share: 1, loadMs: 16_000, warmMs: 1_600 }
const RATES = { loadsPerSecond: 5, loadsAtOnce: 7 }

describe('WeightLoadTracker', () => {
  it('respects the limits of concurrent loads and of loads started per second', () => {
    const tracker = new WeightLoadTracker()
    expect(tracker.allowance(RATES, 0)).to.equal(5)
    for (let count = 0; count < 5; count++) tracker.begin(`w${count}`, MODEL, 0)
    expect(tracker.allowance(RATES, 500)).to.equal(0)
    expect(tracker.allowance(RATES, 1_000)).to.equal(2)
    tracker.noteStagedModels(createEndpoint('w0', '10.0.0.1:1', { staged: ['large'] }))
    expect(tracker.allowance(RATES, 1_000)).to.equal(3)
  })

  it('counts the loads started by the former lease holder', () => {
    // Guards against loads that take twice as long for half a minute: the lease holder is killed with seven loads in
    // progress, which the list does not show before they complete, and its successor started seven more.
    const former = new WeightLoadTracker()
    for (let count = 0; count < 7; count++) former.begin(`w${count}`, MODEL, 1_000)
    const successor = new WeightLoadTracker()
    successor.replace(former.inProgress(9_000), 500_000)
    expect(successor.allowance(RATES, 500_000)).to.equal(0)
    expect(successor.loading(500_000).get('w3')).to.equal('large')
    expect(successor.allowance(RATES, 500_000 + 24_000)).to.equal(5)
  })

  it('counts the loads that the former lease holder started within the last second', () => {
    // Guards against twice the loads of a second where the lease is handed over at once.
    const rates = { loadsPerSecond: 5, loadsAtOnce: 20 }
    const former = new WeightLoadTracker()
    for (let count = 0; count < 5; count++) former.begin(`w${count}`, MODEL, 1_000)
    const successor = new WeightLoadTracker()
    successor.replace(former.inProgress(1_000), 500_000)
    successor.replace(former.inProgress(1_350), 500_350)
    expect(successor.allowance(rates, 500_400)).to.equal(0)
    expect(successor.allowance(rates, 501_000)).to.equal(5)
    former.begin('w5', MODEL, 2_100)
    successor.replace(former.inProgress(2_100), 501_100)
    expect(successor.allowance(rates, 501_200)).to.equal(4)
  })

  it('frees a host soon if its load may not have started', () => {
    const tracker = new WeightLoadTracker()
    tracker.begin('w0', MODEL, 0)
    tracker.markUncertain('w0', 1_000)
    expect(tracker.loading(5_999).has('w0')).to.equal(true)
    expect(tracker.loading(6_000).has('w0')).to.equal(false)
  })
})

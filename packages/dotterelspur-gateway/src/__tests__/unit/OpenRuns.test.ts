import { expect } from 'chai'
import { ExchangeEnd, type DispatchTarget } from 'dotterelspur'
import type { EndpointRun } from '../../request/EndpointRun.js'
import { OpenRuns } from '../../request/OpenRuns.js'

type Run = Pick<EndpointRun, 'target' | 'isSent' | 'isSilent' | 'isUnproven' | 'hasHeldEvents' | 'abort'>

describe('OpenRuns', () => {
  function createRun (endpoint: string, isSent: boolean): EndpointRun {
    const target: DispatchTarget = { endpoint, service: 's', address: '10.0.0.1:1', failureDomain: 'a', model: null, slots: 6 }
    const run: Run = { target, isSent, isSilent: true, isUnproven: true, hasHeldEvents: false, abort: () => {} }
    return run as EndpointRun
  }

  // Guards against requests that end with attempts left, because an endpoint to which nothing was sent counted as one.
  it('report with the next end which runs were superseded, and whether they had been sent', async () => {
    const runs = new OpenRuns()
    const [first, connected, unconnected] = [createRun('e1', true), createRun('e2', true), createRun('e3', false)]
    for (const run of [first, connected, unconnected]) runs.add(run)
    runs.keepOnly(first)
    runs.noteEnd(first, ExchangeEnd.BrokenOff)
    expect(await runs.nextReport()).to.deep.equal({
      end: ExchangeEnd.BrokenOff,
      hasOpenExchange: false,
      superseded: [{ target: connected.target, isUnsent: false }, { target: unconnected.target, isUnsent: true }]
    })
  })

  // Guards against a caller without an answer whose deadline can't end a run that has lost its own end.
  it('report the end for which they are aborted, also where the run does not', async () => {
    const runs = new OpenRuns()
    runs.add(createRun('e1', true))
    runs.abort(ExchangeEnd.TimedOut)
    expect(await runs.nextReport()).to.deep.equal({ end: ExchangeEnd.TimedOut, hasOpenExchange: false, superseded: [] })
  })

  it('report each superseded run once', async () => {
    const runs = new OpenRuns()
    const [first, second] = [createRun('e1', true), createRun('e2', true)]
    for (const run of [first, second]) runs.add(run)
    runs.keepOnly(first)
    runs.noteSilent(first)
    expect((await runs.nextReport()).superseded).to.have.length(1)
    runs.noteEnd(first, ExchangeEnd.BrokenOff)
    expect((await runs.nextReport()).superseded).to.deep.equal([])
  })
})

import { expect } from 'chai'
import { success } from 'dotterelspur'
import { callEntry, startHarness, type Harness } from '../fixtures/harness.js'

const CALLERS = 8
const CALLS_EACH = 20
const WORK_MS = 20
/** Of the calls, at one of three workers. */
const MAX_SHARE = 0.12

describe('entries with a worker that fails all calls at once', () => {
  let harness: Harness
  let failures: number

  beforeEach(async () => {
    failures = 0
    harness = await startHarness({ groups: ['g0'] })
    const [first] = harness.network.services
    harness.network.services = ['w0', 'w1', 'w2'].map((vm) => ({ ...first!, vm, address: `http://${vm}` }))
    for (const worker of ['w1', 'w2']) {
      harness.services.behaviours.set(`http://${worker}`, async () => {
        await new Promise((resolve) => { setTimeout(resolve, WORK_MS) })
        return success({ status: 200, contentType: 'text/plain', body: Buffer.from('whole') })
      })
    }
    harness.services.behaviours.set('http://w0', async () => {
      failures += 1
      return success({ status: 500, contentType: 'text/plain', body: Buffer.from('failed') })
    })
    harness.setPresent(true)
  })

  afterEach(async () => { await harness.stop() })

  // Guards against a worker that is free at once because it fails, and is taken for the emptiest.
  it('send it fewer calls than the others', async () => {
    await Promise.all(Array.from({ length: CALLERS }, async (_unused, caller) => {
      for (let call = 0; call < CALLS_EACH; call++) await callEntry(harness.nodes[0]!, '/services/desk/x', { method: 'POST', body: { text: `call ${caller} ${call}` } })
    }))
    expect(failures).to.be.within(1, MAX_SHARE * CALLERS * CALLS_EACH)
  })
})

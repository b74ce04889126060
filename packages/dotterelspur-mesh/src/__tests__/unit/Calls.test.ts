import { expect } from 'chai'
import { CallEventKind, homeOf, MeshErrorKind } from 'dotterelspur'
import { type Mesh } from '../../index.js'
import { collect, createFleet, type Fleet, waitUntil } from './meshFixture.js'

const NEVER = new AbortController().signal

describe('Calls between nodes', () => {
  let fleet: Fleet

  afterEach(async () => { await fleet.stop() })

  async function createPair (maxServedCalls = 100): Promise<readonly [Mesh, Mesh]> {
    fleet = await createFleet(2, { callLimits: { creditWindow: 8, maxServedCalls } })
    await waitUntil(() => fleet.meshes.every((mesh) => mesh.members().length === 2))
    return [fleet.meshes[0]!, fleet.meshes[1]!]
  }

  /** Registers a handler that counts the messages it produces and records when it is aborted. */
  function registerCounter (mesh: Mesh): { produced: number, aborted: boolean } {
    const counter = { produced: 0, aborted: false }
    mesh.registerCallHandler('count', async function * (_request, _from, signal) {
      signal.addEventListener('abort', () => { counter.aborted = true })
      for (;;) yield ++counter.produced
    })
    return counter
  }

  it('lets a handler run ahead of its caller by no more than the credit, and aborts it when the caller stops reading', async () => {
    const [caller, server] = await createPair()
    const counter = registerCounter(server)
    let read = 0
    for await (const event of caller.call(homeOf(server.self), 'count', null, NEVER)) {
      expect(event.kind).to.equal(CallEventKind.Message)
      read += 1
      await new Promise((resolve) => { setTimeout(resolve, 2) })
      expect(counter.produced).to.be.at.most(read + 8)
      if (read === 30) break
    }
    await waitUntil(() => counter.aborted)
    await waitUntil(() => server.sizes().runningCalls === 0)
  })

  it('aborts the handler when the caller aborts, and reports the call as interrupted', async () => {
    const [caller, server] = await createPair()
    const counter = registerCounter(server)
    const abort = new AbortController()
    const reading = collect(caller.call(homeOf(server.self), 'count', null, abort.signal))
    await waitUntil(() => counter.produced > 20)
    abort.abort()
    expect((await reading).last).to.have.nested.property('error.kind', MeshErrorKind.Interrupted)
    await waitUntil(() => counter.aborted)
  })

  // Guards against a request that runs twice, or is reported as not run although it ran: the connection breaks after a
  // call was sent and before any response. Only a call that could not be sent may be retried elsewhere.
  it('distinguishes a call that was interrupted after it was sent from one that was never sent', async () => {
    const [caller, server] = await createPair()
    const counter = registerCounter(server)
    const home = homeOf(server.self)
    const reading = collect(caller.call(home, 'count', null, NEVER))
    await waitUntil(() => counter.produced > 0)
    await server.stop()
    expect((await reading).last).to.have.nested.property('error.kind', MeshErrorKind.Interrupted)
    const later = await collect(caller.call(home, 'count', null, NEVER))
    expect(later.last).to.have.nested.property('error.kind').that.is.oneOf([MeshErrorKind.Unreachable, MeshErrorKind.UnknownNode])
  })

  it('sends nothing for a call that was aborted before it started', async () => {
    const [caller, server] = await createPair()
    const counter = registerCounter(server)
    const { last } = await collect(caller.call(homeOf(server.self), 'count', null, AbortSignal.abort()))
    expect(last).to.have.nested.property('error.kind', MeshErrorKind.Unreachable)
    expect(counter.produced).to.equal(0)
  })

  it('rejects calls above its limit without running them', async () => {
    const [caller, server] = await createPair(1)
    const counter = registerCounter(server)
    const abort = new AbortController()
    const first = collect(caller.call(homeOf(server.self), 'count', null, abort.signal))
    await waitUntil(() => counter.produced > 0)
    const second = await collect(caller.call(homeOf(server.self), 'count', null, NEVER))
    expect(second.last).to.have.nested.property('error.kind', MeshErrorKind.Overloaded)
    abort.abort()
    await first
  })

  const failures = [
    { name: 'a handler that throws', message: () => { throw new Error('no such trip') }, reason: 'no such trip' },
    { name: 'a message larger than a frame', message: () => 'x'.repeat(1_400_000), reason: 'a message exceeds the maximum frame size' }
  ]
  for (const { name, message, reason } of failures) {
    it(`ends a call with Rejected on ${name}`, async () => {
      const [caller, server] = await createPair()
      server.registerCallHandler('fail', async function * () { yield message() })
      const { last } = await collect(caller.call(homeOf(server.self), 'fail', null, NEVER))
      expect(last).to.deep.equal({ kind: CallEventKind.Error, error: { kind: MeshErrorKind.Rejected, reason } })
    })
  }

  it('sends no request that is larger than a frame', async () => {
    const [caller, server] = await createPair()
    registerCounter(server)
    const { last } = await collect(caller.call(homeOf(server.self), 'count', 'x'.repeat(1_400_000), NEVER))
    expect(last).to.have.nested.property('error.kind', MeshErrorKind.Rejected)
  })

  it('serves calls of a process to itself', async () => {
    const [caller] = await createPair()
    caller.registerCallHandler('own', async function * (request) { yield request })
    expect(await collect(caller.call(homeOf(caller.self), 'own', 5, NEVER))).to.deep.equal({ messages: [5], last: { kind: CallEventKind.End } })
  })
})

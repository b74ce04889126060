import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { CacheEventKind, ChunkKind, EndpointErrorKind, EngineState, FinishReason, OrderKind, PriorityClass, StreamEventKind, StreamState, VmRole, prefixHashes } from 'dotterelspur'
import type { EngineOrder, GenerateRequest, StreamEvent } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { EndpointFleet, RunEnd, VmFaultKind, expectedAnswer } from 'dotterelspur-testkit'
import type { EngineSettings } from 'dotterelspur-testkit'
import { HttpEngineClient, HttpServiceClient } from '../../index.js'

const TIMEOUT_MS = 2_000
const PROMPT = 'a long prompt about a trip from Perth to Joondalup and back, '.repeat(4)

interface Fixture {
  readonly fleet: EndpointFleet
  readonly engines: HttpEngineClient
  readonly services: HttpServiceClient
  readonly leader: string
  request (requestId: string, change?: Partial<GenerateRequest>): GenerateRequest
}

function formOrder (fleet: EndpointFleet, rank: number): EngineOrder {
  return {
    kind: OrderKind.Form, group: 'g1', formation: 1, fabricDomain: 'fabric-1', rank, members: ['vm-1', 'vm-2'].map((vm) => fleet.member(vm)), model: 'm', version: '1', adapters: []
  }
}

/** An order is answered before the model is loaded: the group may be asked only once its members say that they are ready. */
async function untilReady (engines: HttpEngineClient, address: string): Promise<void> {
  for (;;) {
    const status = await engines.probe(address, TIMEOUT_MS)
    if (status.ok && status.value.state === EngineState.Ready) return
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

async function withGroup (settings: Partial<EngineSettings>, run: (fixture: Fixture) => Promise<void>): Promise<void> {
  const common = { region: 'perth', failureDomain: 'perth-a' }
  const fleet = new EndpointFleet({
    places: [
      ...['vm-1', 'vm-2'].map((vm) => ({ ...common, vm, role: VmRole.Engine, fabricDomain: 'fabric-1' })),
      { ...common, vm: 'worker-1', role: VmRole.Service, fabricDomain: '', service: 'trips' }
    ],
    engine: { tokenMs: 1, prefillMsPerToken: 0, cacheEventDelayMs: 0, cacheEventLossPercent: 0, ...settings }
  })
  const engines = new HttpEngineClient({ clock: new SystemClock() })
  const services = new HttpServiceClient({ clock: new SystemClock() })
  await fleet.start()
  try {
    for (const [rank, vm] of ['vm-1', 'vm-2'].entries()) await engines.order(fleet.address(vm), formOrder(fleet, rank), 1, TIMEOUT_MS)
    for (const vm of ['vm-1', 'vm-2']) await untilReady(engines, fleet.address(vm))
    await run({
      fleet,
      engines,
      services,
      leader: fleet.address('vm-1'),
      request: (requestId, change = {}) => ({
        requestId, attempt: 1, group: 'g1', formation: 1, model: 'm', version: '1', adapter: null, prompt: PROMPT, maxTokens: 200, priority: PriorityClass.Standard, seed: 3, resumeOffset: 0, resumeText: '', idempotencyKey: null, ...change
      })
    })
  } finally {
    await Promise.all([engines.close(), services.close()])
    fleet.stop()
  }
}

async function textOf (events: AsyncIterable<StreamEvent>): Promise<string> {
  let text = ''
  for await (const event of events) {
    if (event.kind === StreamEventKind.Error) throw new Error(event.error.kind)
    if (event.kind === StreamEventKind.Chunk && event.chunk.kind === ChunkKind.Tokens) text += event.chunk.text
  }
  return text
}

/** Takes `count` chunks and leaves the stream. */
async function firstChunks (events: AsyncIterable<StreamEvent>, count: number): Promise<number> {
  let offset = 0
  let taken = 0
  for await (const event of events) {
    if (event.kind === StreamEventKind.Chunk && event.chunk.kind === ChunkKind.Tokens) offset = event.chunk.offset + event.chunk.tokens
    if (++taken === count) break
  }
  return offset
}

function never (): AbortSignal {
  return new AbortController().signal
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

describe('the engine contract, between client and stand-in', () => {
  const whole = expectedAnswer({ model: 'm', version: '1', prompt: PROMPT, seed: 3 }, 200)

  it('runs a request whole and remembers it', async () => {
    await withGroup({}, async ({ engines, leader, request }) => {
      expect(await textOf(engines.generate(leader, request('r1'), never()))).to.equal(whole)
      const status = await engines.lookup(leader, 'r1', TIMEOUT_MS)
      expect(status.ok && status.value.state).to.equal(StreamState.Whole)
      const other = await engines.lookup(leader, 'r2', TIMEOUT_MS)
      expect(other.ok && other.value.state).to.equal(StreamState.Absent)
    })
  })

  it('goes on with a run whose connection broke, from an offset, and runs it once', async () => {
    await withGroup({ tokenMs: 4 }, async ({ fleet, engines, leader, request }) => {
      const offset = await firstChunks(engines.generate(leader, request('r1'), never()), 3)
      const rest = await textOf(engines.resume(leader, 'r1', 2, offset, never()))
      expect(whole.endsWith(rest) && rest.length < whole.length).to.equal(true)
      expect(fleet.ledger.rows().map((row) => row.end)).to.deep.equal([RunEnd.Whole])
    })
  })

  it('cancels a run that nobody follows any more, after its grace time', async () => {
    await withGroup({ tokenMs: 30, detachGraceMs: 10 }, async ({ fleet, engines, leader, request }) => {
      await firstChunks(engines.generate(leader, request('r1'), never()), 1)
      await until(() => fleet.ledger.rows()[0]?.end === RunEnd.Cancelled)
    })
  })

  it('cancels a run at once when asked, with an end mark that says so', async () => {
    await withGroup({ tokenMs: 20 }, async ({ engines, leader, request }) => {
      let reason: FinishReason | undefined
      for await (const event of engines.generate(leader, request('r1'), never())) {
        if (event.kind !== StreamEventKind.Chunk) continue
        if (event.chunk.kind === ChunkKind.End) reason = event.chunk.finishReason
        else await engines.cancel(leader, 'r1', TIMEOUT_MS)
      }
      expect(reason).to.equal(FinishReason.Cancelled)
    })
  })

  it('runs nothing for a caller that left while the VM was paused', async () => {
    // Symptom: a VM that comes back runs requests that were given up while it was paused, in a group that is formed anew.
    // Sequence: the VM pauses, a request arrives, its sender times out and closes, the VM goes on.
    // Cause: the request waited in the kernel; an engine must look whether its connection still stands.
    await withGroup({}, async ({ fleet, engines, leader, request }) => {
      await fleet.fault('vm-1', { kind: VmFaultKind.Pause })
      const leaving = new AbortController()
      const stream = textOf(engines.generate(leader, request('r1'), leaving.signal)).catch((error: Error) => error.message)
      await until(() => fleet.bufferedRequests('vm-1') === 1)
      leaving.abort()
      expect(await stream).to.equal(EndpointErrorKind.Ambiguous)
      await until(() => fleet.bufferedRequests('vm-1') === 0)
      await fleet.fault('vm-1', { kind: VmFaultKind.Resume })
      expect(await textOf(engines.generate(leader, request('r2'), never()))).to.equal(whole)
      expect(fleet.ledger.rows().map((row) => row.requestId)).to.deep.equal(['r2'])
    })
  })

  it('says failed once a member is lost', async () => {
    await withGroup({}, async ({ fleet, engines, leader, request }) => {
      await fleet.fault('vm-2', { kind: VmFaultKind.Kill })
      const broken = await textOf(engines.generate(leader, request('r1'), never())).catch((error: Error) => error.message)
      expect(broken).to.equal(EndpointErrorKind.Broken)
      const probe = await engines.probe(leader, TIMEOUT_MS)
      expect(probe.ok && probe.value.state).to.equal(EngineState.Failed)
    })
  })

  it('tells what the prefix cache holds, and moves a prefix to another engine', async () => {
    await withGroup({}, async ({ fleet, engines, leader, request }) => {
      await textOf(engines.generate(leader, request('r1'), never()))
      const hashes = prefixHashes(PROMPT)
      const page = await engines.cacheEvents(leader, 0, TIMEOUT_MS)
      expect(page.ok && page.value.events.map((event) => event.prefixHash)).to.deep.equal(hashes)
      expect(page.ok && page.value.events.every((event) => event.kind === CacheEventKind.Stored)).to.equal(true)
      const image = await engines.exportPrefix(leader, hashes[0]!, TIMEOUT_MS)
      expect(image.ok).to.equal(true)
      if (!image.ok) return
      expect(await engines.importPrefix(fleet.address('vm-2'), image.value, TIMEOUT_MS)).to.deep.equal({ ok: true, value: { stored: 1 } })
      const absent = await engines.exportPrefix(leader, 1, TIMEOUT_MS)
      expect(absent.ok ? 'held' : absent.error.kind).to.equal(EndpointErrorKind.NotRun)
    })
  })

  it('answers cache events in the bytes that their reader counts on', async () => {
    await withGroup({}, async ({ engines, leader, request }) => {
      const none = await countBytes(leader, (address) => engines.cacheEvents(address, 0, TIMEOUT_MS))
      await textOf(engines.generate(leader, request('r1', { prompt: 'x'.repeat(64 * 500) }), never()))
      const full = await countBytes(leader, (address) => engines.cacheEvents(address, 0, TIMEOUT_MS))
      if (process.env.ENTRY_MEASURE !== undefined) console.log('empty', none, 'full', full)
      expect(none.sent + none.received).to.be.at.most(350)
      expect(full.received - none.received).to.be.at.most(60 * 500)
    })
  })

  it('answers a probe in few bytes', async () => {
    await withGroup({}, async ({ fleet, engines, services, leader }) => {
      const engine = await countBytes(leader, (address) => engines.probe(address, TIMEOUT_MS))
      const worker = await countBytes(fleet.address('worker-1'), (address) => services.probe(address, TIMEOUT_MS))
      expect(engine.sent).to.be.at.most(90)
      expect(engine.received).to.be.at.most(140)
      expect(worker.sent + worker.received).to.be.at.most(190)
    })
  })
})

/** Bytes of one successful call, both ways, seen by a relay before the endpoint. */
async function countBytes (address: string, probe: (address: string) => Promise<{ readonly ok: boolean }>): Promise<{ readonly sent: number, readonly received: number }> {
  const counts = { sent: 0, received: 0 }
  const { hostname, port } = new URL(address)
  const relay = createServer((incoming) => {
    const outgoing = connect(Number(port), hostname)
    incoming.on('data', (part) => { counts.sent += part.length })
    outgoing.on('data', (part) => { counts.received += part.length })
    incoming.pipe(outgoing).pipe(incoming)
    for (const socket of [incoming, outgoing]) socket.on('error', () => { incoming.destroy(); outgoing.destroy() })
  })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  const result = await probe(`http://127.0.0.1:${(relay.address() as AddressInfo).port}`)
  expect(result.ok).to.equal(true)
  relay.close()
  return counts
}

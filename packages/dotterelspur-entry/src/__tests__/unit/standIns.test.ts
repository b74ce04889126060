import { expect } from 'chai'
import OpenAI from 'openai'
import { EngineState, OrderKind, VmRole, type AssignedMember, type EngineOrder } from 'dotterelspur'
import { HttpEngineClient } from 'dotterelspur-endpoint'
import { SystemClock } from 'dotterelspur-clock'
import { EndpointFleet, RunEnd, VmFaultKind, expectedAnswer } from 'dotterelspur-testkit'
import { TOKENS, startHarness, type Harness } from '../fixtures/harness.js'

const MODEL = { model: 'summary', version: '1' }
const GROUPS: Readonly<Record<string, readonly string[]>> = { g1: ['vm-1', 'vm-2'], g2: ['vm-3', 'vm-4'] }
const PROMPT = 'user: trips from Perth to Joondalup\n'
const SEED = 7
const MAX_TOKENS = 40
const ORDER_TIMEOUT_MS = 5_000

describe('entry with stand-in engines', () => {
  const clock = new SystemClock()
  let fleet: EndpointFleet
  let harness: Harness
  let client: OpenAI

  beforeEach(async () => {
    const places = Object.values(GROUPS).flat().map((vm) => ({ vm, role: VmRole.Engine, region: 'perth', failureDomain: 'fd-1', fabricDomain: 'fabric-1' }))
    fleet = new EndpointFleet({ places, engine: { tokenMs: 5, prefillMsPerToken: 0 } })
    await fleet.start()
    const engines = new HttpEngineClient({ clock })
    const groups = Object.entries(GROUPS).map(([group, vms]) => ({ group, members: vms.map((vm) => fleet.member(vm)) }))
    for (const { group, members } of groups) await form(engines, group, members)
    harness = await startHarness({ engineApi: engines, members: new Map(groups.map(({ group, members }) => [group, members])) })
    client = new OpenAI({ baseURL: `${harness.nodes[0]!.url}/v1`, apiKey: TOKENS.tradeline, maxRetries: 0 })
  })

  afterEach(async () => {
    await harness?.stop()
    fleet?.stop()
  })

  async function form (engines: HttpEngineClient, group: string, members: readonly AssignedMember[]): Promise<void> {
    for (const [rank, member] of members.entries()) {
      const order: EngineOrder = { kind: OrderKind.Form, group, formation: 3, fabricDomain: 'fabric-1', rank, members, ...MODEL, adapters: [] }
      const formed = await engines.order(member.address, order, 1, ORDER_TIMEOUT_MS)
      expect(formed.ok).to.equal(true)
    }
    for (const member of members) await untilReady(engines, member.address)
  }

  /** An order is confirmed before the model is loaded: requests may be sent to the group only once its members report ready. */
  async function untilReady (engines: HttpEngineClient, address: string): Promise<void> {
    for (;;) {
      const status = await engines.probe(address, ORDER_TIMEOUT_MS)
      if (status.ok && status.value.state === EngineState.Ready) return
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  async function stream (headers: Record<string, string>, onText: (text: string) => void = () => {}): Promise<string> {
    const messages = [{ role: 'user' as const, content: 'trips from Perth to Joondalup' }]
    const chunks = await client.chat.completions.create({ model: 'summary', messages, seed: SEED, max_tokens: MAX_TOKENS, stream: true }, { headers })
    let text = ''
    for await (const chunk of chunks) {
      const part = chunk.choices[0]?.delta.content ?? ''
      text += part
      if (part !== '') onText(text)
    }
    return text
  }

  const whole = expectedAnswer({ ...MODEL, prompt: PROMPT, seed: SEED }, MAX_TOKENS)

  it('streams the engine\'s whole answer', async () => {
    expect(await stream({})).to.equal(whole)
    expect(fleet.ledger.rows().map((row) => row.end)).to.deep.equal([RunEnd.Whole])
  })

  // Guards against half an answer, or a part of it twice, when a VM dies: the loss of one of its VMs breaks the replica, and with
  // it all of the replica's streams. The other replica is complete.
  it('delivers one whole answer when a VM of the replica is killed in the middle of it', async () => {
    let killed = false
    const text = await stream({}, () => {
      if (killed) return
      killed = true
      const { endpoint } = fleet.ledger.rows()[0]!
      const group = Object.values(GROUPS).find((vms) => vms.includes(endpoint))!
      fleet.fault(group[1]!, { kind: VmFaultKind.Kill }).catch(() => {})
    })
    expect(text).to.equal(whole)
    expect(fleet.ledger.rows().map((row) => row.end)).to.deep.equal([RunEnd.Died, RunEnd.Whole])
  })

  it('runs a non-idempotent request once, even if its replica dies in the middle of the answer and its caller retries', async () => {
    let killed = false
    const headers = { 'dotterelspur-non-idempotent': 'true', 'idempotency-key': 'loan-4711' }
    const kill = (): void => {
      if (killed) return
      killed = true
      const { endpoint } = fleet.ledger.rows()[0]!
      const group = Object.values(GROUPS).find((vms) => vms.includes(endpoint))!
      for (const vm of group) fleet.fault(vm, { kind: VmFaultKind.Kill }).catch(() => {})
    }
    const received: string[] = []
    for (let tries = 0; tries < 2; tries += 1) {
      await stream(headers, kill).then((text) => received.push(text), (error: { type?: string }) => received.push(String(error.type)))
    }
    expect(received).to.deep.equal(['stream_broken', 'stream_broken'])
    expect(fleet.ledger.rows().map((row) => [row.idempotencyKey, row.end])).to.deep.equal([['loan-4711', RunEnd.Died]])
  })

  it('cancels the engine\'s run when the caller of an idempotent request disconnects', async () => {
    const messages = [{ role: 'user' as const, content: 'trips' }]
    const chunks = await client.chat.completions.create({ model: 'summary', messages, stream: true })
    for await (const chunk of chunks) {
      if ((chunk.choices[0]?.delta.content ?? '') !== '') break
    }
    while (fleet.ledger.rows()[0]!.end === RunEnd.Running) await new Promise((resolve) => { setTimeout(resolve, 2) })
    expect(fleet.ledger.rows()[0]!.end).to.equal(RunEnd.Cancelled)
  })
})

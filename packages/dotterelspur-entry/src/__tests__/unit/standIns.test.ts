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

describe('entry before stand-in engines', () => {
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

  /** An order is answered before the model is loaded: the group may be asked only once its members say that they are ready. */
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

  it('streams what the engine makes, whole', async () => {
    expect(await stream({})).to.equal(whole)
    expect(fleet.ledger.rows().map((row) => row.end)).to.deep.equal([RunEnd.Whole])
  })

  // Symptom: a caller gets half an answer, or an answer with a part twice, when a VM dies.
  // Sequence: a replica streams; one of its two VMs is killed; the other replica is whole.
  // Cause: losing any VM kills its replica, and with it every stream that it had.
  it('gives one whole answer when a VM of the replica is killed in mid-answer', async () => {
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

  it('runs a non-idempotent request once, though its replica dies in mid-answer and its caller asks again', async () => {
    let killed = false
    const headers = { 'dotterelspur-non-idempotent': 'true', 'idempotency-key': 'loan-4711' }
    const kill = (): void => {
      if (killed) return
      killed = true
      const { endpoint } = fleet.ledger.rows()[0]!
      const group = Object.values(GROUPS).find((vms) => vms.includes(endpoint))!
      for (const vm of group) fleet.fault(vm, { kind: VmFaultKind.Kill }).catch(() => {})
    }
    const told: string[] = []
    for (let tries = 0; tries < 2; tries += 1) {
      await stream(headers, kill).then((text) => told.push(text), (error: { type?: string }) => told.push(String(error.type)))
    }
    expect(told).to.deep.equal(['stream_broken', 'stream_broken'])
    expect(fleet.ledger.rows().map((row) => [row.idempotencyKey, row.end])).to.deep.equal([['loan-4711', RunEnd.Died]])
  })

  it('cancels the engine\'s run when the caller of an idempotent request goes away', async () => {
    const messages = [{ role: 'user' as const, content: 'trips' }]
    const chunks = await client.chat.completions.create({ model: 'summary', messages, stream: true })
    for await (const chunk of chunks) {
      if ((chunk.choices[0]?.delta.content ?? '') !== '') break
    }
    while (fleet.ledger.rows()[0]!.end === RunEnd.Running) await new Promise((resolve) => { setTimeout(resolve, 2) })
    expect(fleet.ledger.rows()[0]!.end).to.equal(RunEnd.Cancelled)
  })
})

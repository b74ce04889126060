import { expect } from 'chai'
import { EngineState, OrderKind, PriorityClass, VmRole } from 'dotterelspur'
import type { EngineOrder, GenerateChunk, VmStatus } from 'dotterelspur'
import { EndpointFleet, FencingMode, RunEnd, VmFaultKind, expectedAnswer } from '../../index.js'
import type { EngineSettings, VmPlace } from '../../index.js'

const GROUP = 'g1'
const LOAD_MS = 30
const MODEL = { model: 'summary-8b', version: '1' }

function place (vm: string): VmPlace {
  return { vm, role: VmRole.Engine, region: 'perth', failureDomain: 'perth-a', fabricDomain: 'fabric-1' }
}

function formOrder (fleet: EndpointFleet, rank: number, formation = 1): EngineOrder {
  const members = ['vm-1', 'vm-2'].map((vm) => fleet.member(vm))
  return { kind: OrderKind.Form, group: GROUP, formation, fabricDomain: 'fabric-1', rank, members, ...MODEL, adapters: [] }
}

function generateBody (requestId: string, resumeOffset = 0, formation = 1): Record<string, unknown> {
  return {
    requestId,
    attempt: 1,
    group: GROUP,
    formation,
    ...MODEL,
    adapter: null,
    prompt: 'trip from Perth to Joondalup',
    maxTokens: 40,
    priority: PriorityClass.Standard,
    seed: 7,
    resumeOffset,
    resumeText: '',
    idempotencyKey: null
  }
}

interface Fixture {
  readonly fleet: EndpointFleet
  post (vm: string, path: string, body: unknown, signal?: AbortSignal): Promise<Response>
  status (vm: string): Promise<VmStatus>
  form (formation?: number, fencing?: number): Promise<number[]>
  generate (requestId: string, resumeOffset?: number): Promise<GenerateChunk[]>
}

async function withFleet (engine: Partial<EngineSettings>, run: (fixture: Fixture) => Promise<void>): Promise<void> {
  const fleet = new EndpointFleet({ places: ['vm-1', 'vm-2', 'vm-3'].map(place), engine: { tokenMs: 1, prefillMsPerToken: 0, cacheEventLossPercent: 0, ...engine }, requestLoad: () => LOAD_MS })
  await fleet.start()
  const post: Fixture['post'] = (vm, path, body, signal) => fetch(`${fleet.address(vm)}${path}`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), signal: signal ?? null
  })
  const fixture: Fixture = {
    fleet,
    post,
    status: async (vm) => await (await fetch(`${fleet.address(vm)}/v1/status`)).json() as VmStatus,
    form: async (formation = 1, fencing = 1) => {
      const statuses = await Promise.all(['vm-1', 'vm-2'].map(async (vm, rank) =>
        (await post(vm, '/v1/orders', { fencing, order: formOrder(fleet, rank, formation) })).status))
      await until(() => ['vm-1', 'vm-2'].every((vm) => (fleet.status(vm) as VmStatus).state === EngineState.Ready))
      return statuses
    },
    generate: async (requestId, resumeOffset = 0) => {
      const response = await post('vm-1', '/v1/generate', generateBody(requestId, resumeOffset))
      const lines = (await response.text()).trim().split('\n')
      return lines.map((line) => JSON.parse(line) as GenerateChunk)
    }
  }
  try {
    await run(fixture)
  } finally {
    fleet.stop()
  }
}

function textOf (chunks: readonly GenerateChunk[]): string {
  return chunks.map((chunk) => 'text' in chunk ? chunk.text : '').join('')
}

/** Polls until the condition holds; otherwise the test runs into mocha's timeout. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

describe('EndpointFleet', () => {
  const answer = expectedAnswer({ ...MODEL, prompt: 'trip from Perth to Joondalup', seed: 7 }, 40)

  it('streams the same answer from the start and from an offset', async () => {
    await withFleet({}, async ({ fleet, form, generate }) => {
      expect(await form()).to.deep.equal([200, 200])
      expect(textOf(await generate('r1'))).to.equal(answer)
      const resumed = await generate('r2', 10)
      expect(resumed[0]).to.include({ offset: 10 })
      expect(answer.endsWith(textOf(resumed))).to.equal(true)
      expect(resumed.at(-1)).to.include({ kind: 'end' })
      expect(fleet.ledger.rows()).to.have.length(2)
      expect(fleet.ledger.rows()[0]).to.include({ requestId: 'r1', endpoint: 'vm-1', group: GROUP, membersUp: 2, membersDue: 2, end: RunEnd.Whole })
    })
  })

  it('runs a request id once and attaches the second generate to the first run', async () => {
    await withFleet({}, async ({ fleet, form, generate }) => {
      await form()
      const both = await Promise.all([generate('same'), generate('same')])
      expect(both.map(textOf)).to.deep.equal([answer, answer])
      expect(fleet.ledger.rows()).to.have.length(1)
    })
  })

  it('counts the members that are up, and breaks the running requests when one dies', async () => {
    await withFleet({ tokenMs: 20 }, async ({ fleet, form, generate, post, status }) => {
      await form()
      const broken = generate('r1').then(() => 'whole', () => 'broken')
      await until(() => fleet.ledger.rows().length === 1)
      await fleet.fault('vm-2', { kind: VmFaultKind.Kill })
      expect(await broken).to.equal('broken')
      expect(fleet.ledger.rows()[0]).to.include({ membersUp: 2, end: RunEnd.Died })
      expect((await status('vm-1')).state).to.equal(EngineState.Failed)
      expect((await post('vm-1', '/v1/generate', generateBody('r2'))).status).to.equal(503)
    })
  })

  it('records a run that begins while a member is down', async () => {
    await withFleet({}, async ({ fleet, form, generate }) => {
      await form()
      await fleet.fault('vm-2', { kind: VmFaultKind.Kill })
      expect(await generate('r1').then(() => 'whole', () => 'broken')).to.equal('broken')
      expect(fleet.ledger.rows()[0]).to.include({ membersUp: 1, membersDue: 2, end: RunEnd.Died })
    })
  })

  it('stalls while a member is paused, and continues when it is resumed', async () => {
    await withFleet({}, async ({ fleet, form, generate }) => {
      await form()
      await fleet.fault('vm-2', { kind: VmFaultKind.Pause })
      let ended = false
      const whole = generate('r1').then((chunks) => { ended = true; return chunks })
      await until(() => fleet.ledger.rows().length === 1)
      expect(ended).to.equal(false)
      expect(fleet.ledger.rows()[0]).to.include({ membersUp: 1, end: RunEnd.Running })
      await fleet.fault('vm-2', { kind: VmFaultKind.Resume })
      expect(textOf(await whole)).to.equal(answer)
    })
  })

  it('executes after a pause an order whose sender has given up', async () => {
    // Guards against a stand-in that is kinder than a real VM: the bytes of an order that has timed out at its sender wait in the
    // kernel of the paused VM, which executes it later.
    await withFleet({}, async ({ fleet, post, status }) => {
      await fleet.fault('vm-1', { kind: VmFaultKind.Pause })
      const giveUp = new AbortController()
      const sent = post('vm-1', '/v1/orders', { fencing: 1, order: formOrder(fleet, 0) }, giveUp.signal).then(() => 'answered', () => 'gave up')
      await until(() => fleet.bufferedRequests('vm-1') === 1)
      giveUp.abort()
      expect(await sent).to.equal('gave up')
      await fleet.fault('vm-1', { kind: VmFaultKind.Resume })
      await until(() => (fleet.status('vm-1') as VmStatus).group === GROUP)
      expect(await status('vm-1')).to.include({ group: GROUP, formation: 1 })
    })
  })

  const fencingCases = [
    { mode: FencingMode.Checked, statuses: [412, 412] },
    { mode: FencingMode.Ignored, statuses: [200, 200] }
  ]
  for (const { mode, statuses } of fencingCases) {
    it(`answers an order with a lower fencing number with ${statuses[0]} when fencing is ${mode}`, async () => {
      await withFleet({ fencing: mode }, async ({ form }) => {
        await form(2, 5)
        expect(await form(1, 4)).to.deep.equal(statuses)
      })
    })
  }

  const refusalCases = [
    { name: 'another formation', change: { formation: 9 }, status: 409 },
    { name: 'another group', change: { group: 'g2' }, status: 409 },
    { name: 'another model', change: { model: 'other' }, status: 409 },
    { name: 'another version', change: { version: '2' }, status: 409 },
    { name: 'an adapter that is not loaded', change: { adapter: 'tax' }, status: 409 }
  ]
  for (const { name, change, status } of refusalCases) {
    it(`rejects ${name} before it runs anything`, async () => {
      await withFleet({}, async ({ fleet, form, post }) => {
        await form()
        const response = await post('vm-1', '/v1/generate', { ...generateBody('r1'), ...change })
        expect(response.status).to.equal(status)
        expect(fleet.ledger.rows()).to.deep.equal([])
      })
    })
  }

  it('restarts as a new incarnation, at another address and without a group', async () => {
    await withFleet({ restartMs: 1 }, async ({ fleet, form, status }) => {
      await form()
      const before = fleet.records().find((record) => record.vm === 'vm-1')!
      await fleet.fault('vm-1', { kind: VmFaultKind.Restart })
      expect(fleet.records().some((record) => record.vm === 'vm-1')).to.equal(false)
      await until(() => fleet.records().some((record) => record.vm === 'vm-1'))
      const after = fleet.records().find((record) => record.vm === 'vm-1')!
      expect(after.incarnation).to.equal(before.incarnation + 1)
      expect(after.address).to.not.equal(before.address)
      expect(await status('vm-1')).to.include({ group: null, state: EngineState.Idle })
    })
  })
})

import { expect } from 'chai'
import { VmListState, VmRole, createRandom } from 'dotterelspur'
import type { VmRecord } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { PlatformFaultKind, PlatformServer } from 'dotterelspur-testkit'
import { PlatformObjectStore, PlatformVmDirectory, PlatformWeightBudget } from '../../index.js'

interface Fixture {
  readonly server: PlatformServer
  readonly store: PlatformObjectStore
  readonly directory: PlatformVmDirectory
  stop (): Promise<void>
}

async function createFixture (): Promise<Fixture> {
  const server = new PlatformServer()
  await server.start()
  const store = new PlatformObjectStore({ url: server.url, clock: new SystemClock(), random: createRandom(1) })
  return {
    server,
    store,
    directory: new PlatformVmDirectory(store),
    stop: async () => {
      await store.close()
      await server.stop()
    }
  }
}

function record (vm: string, overrides: Partial<VmRecord> = {}): VmRecord {
  return { vm, incarnation: 1, role: VmRole.Engine, state: VmListState.Live, address: 'http://127.0.0.1:9', region: 'r', failureDomain: 'f', fabricDomain: 'd', ...overrides }
}

describe('PlatformVmDirectory', () => {
  let fixture: Fixture
  beforeEach(async () => { fixture = await createFixture() })
  afterEach(async () => { await fixture.stop() })

  async function listed (): Promise<readonly VmRecord[]> {
    const result = await fixture.directory.list()
    if (!result.ok) throw new Error(result.error.kind)
    return result.value.vms
  }

  it('returns each VM once when records are duplicated', async () => {
    fixture.server.vms.put(record('a'))
    fixture.server.vms.put(record('b'))
    fixture.server.vms.setFaults({ duplicateProbability: 1 })
    expect((await listed()).map((line) => line.vm)).to.deep.equal(['a', 'b'])
  })

  it('leaves out and counts records that violate the contract', async () => {
    fixture.server.vms.put(record('a'))
    fixture.server.vms.put({ ...record('b'), address: 'not a URL' })
    expect((await listed()).map((line) => line.vm)).to.deep.equal(['a'])
    expect(fixture.directory.malformedLines).to.equal(1)
  })

  // Guards against addresses for which the HTTP client throws when a VM is probed.
  for (const address of ['ftp://127.0.0.1:9', 'mailto:a@example.org', 'http://127.0.0.1:70000', 'http://127.0.0.1:9/path', 'http://127.0.0.1:9/?query']) {
    it(`leaves out a record with the address ${address}, and takes it when it has a valid one`, async () => {
      fixture.server.vms.put(record('a'))
      fixture.server.vms.put(record('b', { address }))
      expect((await listed()).map((line) => line.vm)).to.deep.equal(['a'])
      fixture.server.vms.put(record('b'))
      expect((await listed()).map((line) => line.vm)).to.deep.equal(['a', 'b'])
    })
  }

  it('does not replace the list by a stale one', async () => {
    fixture.server.vms.put(record('a'))
    fixture.server.vms.put(record('a', { state: VmListState.Leaving }))
    expect((await listed())[0]?.state).to.equal(VmListState.Leaving)
    fixture.server.vms.setFaults({ lagMs: 3_600_000 })
    expect((await listed())[0]?.state).to.equal(VmListState.Leaving)
  })

  it('does not receive an unchanged list again, and reads the full list after a change', async () => {
    // Failure: a lease holder receives far more bytes than its budget. It polls the list every 1.5 s, and with 2,096
    // VMs each response has 374 kB, if an unchanged list is sent again each time.
    fixture.server.vms.put(record('a'))
    const first = await listed()
    fixture.server.vms.setFaults({ missingProbability: 1 })
    expect(await listed()).to.equal(first)
    fixture.server.vms.put(record('b'))
    expect(await listed()).to.deep.equal([])
  })

  it('returns an unavailable error while the platform is down', async () => {
    fixture.server.faults.set({ kind: PlatformFaultKind.Down })
    const result = await fixture.directory.list()
    expect(result.ok ? 'ok' : result.error.kind).to.equal('unavailable')
  })
})

describe('PlatformWeightBudget', () => {
  it('reads the budget and the granted part of it', async () => {
    const fixture = await createFixture()
    fixture.server.weights.setBudget(1_000)
    expect(fixture.server.weights.acquire('a', 800).ok).to.equal(true)
    expect(fixture.server.weights.acquire('b', 900)).to.deep.include({ ok: false })
    const budget = await new PlatformWeightBudget(fixture.store).read()
    expect(budget).to.deep.equal({ ok: true, value: { budgetBytesPerSecond: 1_000, grantedBytesPerSecond: 800, grants: 1 } })
    await fixture.stop()
  })
})

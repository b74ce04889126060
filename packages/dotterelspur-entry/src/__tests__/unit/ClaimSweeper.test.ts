import { expect } from 'chai'
import { ManualClock, NodeState, type NodeMember } from 'dotterelspur'
import { MemoryObjectStore } from 'dotterelspur-testkit'
import { ClaimSweeper } from '../../process/ClaimSweeper.js'
import type { EntryContext } from '../../process/EntryContext.js'
import { DEFAULT_ENTRY_TIMING } from '../../process/EntryOptions.js'
import { SILENT_OBSERVER } from '../../process/EntryObserver.js'
import { claimKey } from '../../request/KeyedRuns.js'
import { FakeMesh, FakeNetwork } from '../fixtures/FakeMesh.js'

const RETENTION_MS = 1_000

describe('ClaimSweeper', () => {
  it('removes each expired claim once across all nodes, and keeps the others', async () => {
    const clock = new ManualClock()
    const store = new MemoryObjectStore()
    const network = new FakeNetwork()
    const meshes = ['node-a', 'node-b', 'node-c'].map((node) => new FakeMesh(network, { node }))
    const gone: NodeMember['state'] = NodeState.Dead
    new FakeMesh(network, { node: 'node-d' }).setState(gone)
    const create = async (key: string): Promise<void> => {
      await store.create(claimKey('tradeline', key), { team: 'tradeline', key, requestId: 'x', claimedAtWallMs: clock.wallMs(), writeToken: key })
    }
    for (let index = 0; index < 40; index += 1) await create(`old-${index}`)
    clock.advance(RETENTION_MS)
    for (let index = 0; index < 10; index += 1) await create(`young-${index}`)
    const sweepers = meshes.map((mesh) => new ClaimSweeper({
      mesh, clock, store, observer: SILENT_OBSERVER, timing: { ...DEFAULT_ENTRY_TIMING, claimRetentionMs: RETENTION_MS }
    } as unknown as EntryContext))
    const removed = await Promise.all(sweepers.map((sweeper) => sweeper.sweep()))
    expect(removed.reduce((sum, count) => sum + count, 0)).to.equal(40)
    expect(removed.every((count) => count > 0)).to.equal(true)
    const left = await store.list('claims/')
    expect(left.ok && left.value.objects.filter((claim) => !claim.deleted)).to.have.length(10)
  })
})

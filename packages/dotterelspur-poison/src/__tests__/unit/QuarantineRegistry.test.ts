import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock, QUARANTINE_PREFIX, storeVersion, success, WatchEventKind, type ObjectStore, type QuarantineObject, type StoredObject, type WatchEvent } from 'dotterelspur'
import { QuarantineRegistry } from '../../process/QuarantineRegistry.js'
import { partFingerprintOf } from '../../request/fingerprint.js'

const FINGERPRINT = 'f1'
const ENTRY: QuarantineObject = { outline: 1, service: 'models', caller: null, ends: 3, decidedBy: 'n1' }

interface World {
  readonly registry: QuarantineRegistry
  readonly quarantined: string[]
  readonly released: string[]
  /** Keys of the entries that were written, in order. */
  readonly created: string[]
  /** Delivers a listing at the version. */
  list (version: number, objects: ReadonlyArray<StoredObject<QuarantineObject>>): void
}

function createWorld (): World {
  const quarantined: string[] = []
  const released: string[] = []
  const created: string[] = []
  let listener: (event: WatchEvent<QuarantineObject>) => void = () => {}
  const store = {
    watch: (_prefix: string, registered: typeof listener) => {
      listener = registered
      return () => {}
    },
    create: async (key: string, body: QuarantineObject) => {
      created.push(key)
      return success({ key, version: storeVersion(2, 10), body, deleted: false })
    }
  } as unknown as ObjectStore
  const registry = new QuarantineRegistry({ store, node: 'n1', maxEntries: 10, clock: new ManualClock(), onProblem: () => {} })
  registry.registerListener({ onQuarantined: (fingerprint) => { quarantined.push(fingerprint) }, onReleased: (fingerprint) => { released.push(fingerprint) } })
  registry.follow()
  return { registry, quarantined, released, created, list: (version, objects) => { listener({ kind: WatchEventKind.Listing, listing: { objects, version } }) } }
}

function createEntry (version: number): StoredObject<QuarantineObject> {
  return { key: `${QUARANTINE_PREFIX}${FINGERPRINT}`, version, body: ENTRY, deleted: false }
}

const SEED = 20_261_206
const RUNS = 500

describe('QuarantineRegistry', () => {
  // Guards against a node that stops following the quarantine, or sends a quarantined request again, after an odd entry of another writer.
  it('keeps decisions and takes valid entries, whatever another writer puts among them', () => {
    const field = fc.oneof(fc.jsonValue(), fc.double())
    const mutated = fc.record({ outline: field, part: field, service: field, caller: field, ends: field, decidedBy: field }, { requiredKeys: [] }).map((fields) => ({ ...ENTRY, ...fields }))
    fc.assert(fc.property(fc.oneof(fc.jsonValue(), mutated), (odd) => {
      const { registry, quarantined, released, list } = createWorld()
      registry.registerListener({ onQuarantined: (_fingerprint, { outline }) => { expect(outline).to.be.a('number') }, onReleased: () => {} })
      const oddAt = (key: string, version: number): StoredObject<QuarantineObject> => ({ key, version: storeVersion(1, version), body: odd as QuarantineObject, deleted: false })
      list(storeVersion(1, 5), [oddAt(`${QUARANTINE_PREFIX}__proto__`, 3), createEntry(storeVersion(1, 4))])
      list(storeVersion(1, 7), [oddAt(`${QUARANTINE_PREFIX}${FINGERPRINT}`, 6)])
      expect(quarantined).to.include(FINGERPRINT)
      expect(released).to.not.include(FINGERPRINT)
      list(storeVersion(1, 9), [createEntry(storeVersion(1, 8))])
      list(storeVersion(1, 11), [])
      expect(released).to.include(FINGERPRINT)
    }), { seed: SEED, numRuns: RUNS })
  })

  it('releases a request whose entry an operator has deleted', () => {
    const { released, list } = createWorld()
    list(storeVersion(1, 5), [createEntry(storeVersion(1, 4))])
    list(storeVersion(1, 9), [])
    expect(released).to.deep.equal([FINGERPRINT])
  })

  // Guards against a request that ends endpoints again: its entry was lost with the store's last writes, which passed for a release.
  it('releases no request whose entry was lost when the store came back from an older copy, and persists it again', async () => {
    const { registry, released, created, list } = createWorld()
    list(storeVersion(1, 5), [createEntry(storeVersion(1, 4))])
    list(storeVersion(2, 3), [])
    expect(released).to.deep.equal([])
    registry.persist([])
    await new Promise((resolve) => { setImmediate(resolve) })
    registry.persist([])
    expect(created).to.deep.equal([`${QUARANTINE_PREFIX}${FINGERPRINT}`])
  })

  // Guards against refusing all prompts during an upgrade: the former release takes parts for requests, and quarantines what all share.
  it('ignores entries of parts that a lease holder of the former release has written', () => {
    const { quarantined, list } = createWorld()
    const key = `${QUARANTINE_PREFIX}${partFingerprintOf('models', 'shared')}`
    list(storeVersion(1, 5), [{ ...createEntry(storeVersion(1, 4)), key }])
    expect(quarantined).to.deep.equal([])
    list(storeVersion(1, 7), [{ key, version: storeVersion(1, 6), body: { ...ENTRY, part: 'shared' }, deleted: false }])
    expect(quarantined).to.deep.equal([partFingerprintOf('models', 'shared')])
  })
})

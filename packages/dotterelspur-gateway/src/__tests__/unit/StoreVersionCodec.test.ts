import { expect } from 'chai'
import { storeVersion, type LeaseObject, type StoredObject } from 'dotterelspur'
import { decodeFeedUpdate, decodeHolderState, decodeLease, encodeFeedUpdate, encodeHolderState, encodeLease } from '../../connection/StoreVersionCodec.js'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import type { LeaseHolderState } from '../../process/LeaseHolderState.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import type { FeedUpdate } from '../../process/StoreFeed.js'

const LEASE: StoredObject<LeaseObject> = {
  key: 'leases/fleet',
  version: storeVersion(2, 21),
  body: { failureDomain: 'fleet', holder: 'n1', holderIncarnation: 1, fencing: 3, ttlMs: 2_000, renewal: 7, released: false, writeToken: '' },
  deleted: false
}

const UPDATE: FeedUpdate = { prefix: ENDPOINT_PREFIX, sinceVersion: storeVersion(2, 30), objects: [{ key: 'endpoints/w1', version: storeVersion(2, 31), body: null, deleted: true }], version: storeVersion(2, 32) }

function createState (versions: Record<string, number>): LeaseHolderState {
  return { feed: { contactAgeMs: 5, versions }, lease: LEASE, loads: [], stoppedHeads: [] }
}

describe('Store versions between nodes', () => {
  it('arrive with their era', () => {
    const state = createState({ [MANIFEST_PREFIX]: storeVersion(2, 12) })
    expect(decodeHolderState(encodeHolderState(state))).to.deep.equal(state)
    expect(decodeFeedUpdate(encodeFeedUpdate(UPDATE))).to.deep.equal(UPDATE)
    expect(decodeLease(encodeLease(LEASE))).to.deep.equal(LEASE)
  })

  it('are revisions to a node of the release without eras', () => {
    expect(encodeLease(LEASE).version).to.equal(21)
    expect(encodeHolderState(createState({ [MANIFEST_PREFIX]: storeVersion(2, 12) })).feed.versions).to.deep.equal({ [MANIFEST_PREFIX]: 12 })
    expect(encodeFeedUpdate(UPDATE)).to.deep.include({ sinceVersion: 30, version: 32, objects: [{ key: 'endpoints/w1', version: 31, body: null, deleted: true }] })
  })

  it('of a node of the release without eras count as era 0', () => {
    expect(decodeLease({ ...LEASE, version: 21 }).version).to.equal(21)
    expect(decodeHolderState({ ...createState({ [MANIFEST_PREFIX]: 12 }), lease: { ...LEASE, version: 21 } }).feed.versions).to.deep.equal({ [MANIFEST_PREFIX]: 12 })
  })

  // Guards against a prefix that counts as followed in the new era although the holder has not listed it since.
  it('leave out prefixes that the lease holder has not listed in the newest era', () => {
    const state = createState({ [MANIFEST_PREFIX]: storeVersion(2, 12), [ENDPOINT_PREFIX]: storeVersion(1, 40) })
    expect(decodeHolderState(encodeHolderState(state)).feed.versions).to.deep.equal({ [MANIFEST_PREFIX]: storeVersion(2, 12) })
  })
})

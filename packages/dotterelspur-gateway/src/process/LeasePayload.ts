import type { LeaseObject } from 'dotterelspur'

/** The lease as stored. Its holder adds state that the fleet needs after all nodes restart, at no extra call. */
export interface StoredLease extends LeaseObject {
  readonly memory?: LeasePayload | null
}

/** State stored with the lease. Other writers may change it, so each reader validates its part. */
export interface LeasePayload {
  /** What the fleet has learned about its callers and engines. */
  readonly learned?: unknown
  /** Requests suspected of crashing their endpoints. */
  readonly suspects?: unknown
}

/** Supplies the state that is stored with the lease, and receives it when the lease is read. */
export interface LeasePayloadSource {
  read (): LeasePayload
  restore (memory: LeasePayload): void
}

/** Stores nothing with the lease. */
export const NO_PAYLOAD: LeasePayloadSource = { read: () => ({}), restore: () => {} }

import { StoreErrorKind, VmListState, VmRole, failed, success } from 'dotterelspur'
import type { Result, StoreError, VmDirectory, VmId, VmListing, VmRecord } from 'dotterelspur'
import { z } from 'zod'
import { ResponseStatus, CallKind, HttpMethod } from '../request/PlatformCall.js'
import { VMS_PATH } from '../request/paths.js'
import { readProcedure, createStatusError } from '../request/readProcedure.js'
import type { PlatformObjectStore } from './PlatformObjectStore.js'

/** The HTTP client throws for any other address. */
const originSchema = z.url({ protocol: /^https?$/ }).refine((address) => URL.canParse(address) && isOrigin(new URL(address)), 'no origin')

const recordSchema = z.object({
  vm: z.string().min(1),
  incarnation: z.number().int().nonnegative(),
  role: z.enum(VmRole),
  state: z.enum(VmListState),
  address: originSchema,
  region: z.string(),
  failureDomain: z.string(),
  fabricDomain: z.string(),
  service: z.string().optional()
})

const listingSchema = z.object({ vms: z.array(z.unknown()), version: z.number().int().nonnegative() })

/** The full list is read at least this often. Otherwise a record missing from one response would stay missing until the list changes. */
const FULL_READ_INTERVAL_MS = 300_000

/** The platform's list of VMs over HTTP, as docs/contracts/vm-list.md describes it. */
export class PlatformVmDirectory implements VmDirectory {
  private latest: VmListing | undefined
  private fullReadAtMs = -Infinity
  private malformed = 0

  constructor (private readonly store: PlatformObjectStore) {}

  /** Number of records that violated the contract and were left out. */
  get malformedLines (): number {
    return this.malformed
  }

  /** Returns the list, with each VM once. When the response is older than the latest list received, the latter is returned. */
  async list (): Promise<Result<VmListing, StoreError>> {
    const request = { callKind: CallKind.Read, method: HttpMethod.Get, path: VMS_PATH, knownVersion: this.knownVersion() }
    return await this.store.run(readProcedure(request, this.store.procedureContext, (reply) => {
      if (reply.status === ResponseStatus.NotModified && this.latest !== undefined) return success(this.latest)
      if (reply.status !== ResponseStatus.Ok) return failed(createStatusError(reply.status, reply.body))
      return this.parseListing(reply.body)
    }))
  }

  private knownVersion (): number | undefined {
    const fresh = this.store.nowMs - this.fullReadAtMs < FULL_READ_INTERVAL_MS
    return fresh ? this.latest?.version : undefined
  }

  private parseListing (body: unknown): Result<VmListing, StoreError> {
    const parsed = listingSchema.safeParse(body)
    if (!parsed.success) return failed({ kind: StoreErrorKind.Invalid, reason: 'the response is not a VM list' })
    const { vms, version } = parsed.data
    if (this.latest !== undefined && version < this.latest.version) return success(this.latest)
    this.fullReadAtMs = this.store.nowMs
    this.latest = { version, vms: mergeRecords(vms.flatMap((line) => this.parseRecord(line))) }
    return success(this.latest)
  }

  private parseRecord (line: unknown): VmRecord[] {
    const parsed = recordSchema.safeParse(line)
    if (parsed.success) return [parsed.data]
    this.malformed++
    return []
  }
}

function isOrigin ({ pathname, search, hash }: URL): boolean {
  return pathname === '/' && search === '' && hash === ''
}

/** Merges duplicate records of a VM: the highest incarnation wins, and within an incarnation the record that is leaving. */
function mergeRecords (records: readonly VmRecord[]): VmRecord[] {
  const merged = new Map<VmId, VmRecord>()
  for (const record of records) {
    const other = merged.get(record.vm)
    if (other === undefined || supersedes(record, other)) merged.set(record.vm, record)
  }
  return [...merged.values()]
}

function supersedes (record: VmRecord, other: VmRecord): boolean {
  if (record.incarnation !== other.incarnation) return record.incarnation > other.incarnation
  return record.state === VmListState.Leaving
}

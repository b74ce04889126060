import { failed, success, type Clock, type HomeId, type Result } from 'dotterelspur'
import { z } from 'zod'
import type { HttpTransport } from '../request/HttpTransport.js'
import { CallFailureKind, type CallFailure } from '../request/CallFailure.js'

const entrySchema = z.object({ address: z.string(), home: z.string() })
const directorySchema = z.object({ ttlMs: z.number().positive(), wallMs: z.number(), entries: z.array(entrySchema) })

/** One address of the system, and the home that request ids name which are sent there. */
export interface KnownEntry {
  readonly address: string
  readonly home: HomeId | null
}

export interface DirectoryOptions {
  /** Addresses to ask first, and whenever no other is known. */
  readonly seeds: readonly string[]
  readonly failureDomain: string | null
  readonly caller: string
}

const FAILED_ENTRY_PAUSE_MS = 2_000

/** Keeps the directory's answer for its time to live, and leaves out for a while what failed. */
export class DirectoryCache {
  private entries: readonly KnownEntry[]
  private expiresAtMs = -Infinity
  private wallOffsetMs = 0
  private refreshing: Promise<void> | null = null
  private readonly avoidUntilMs = new Map<string, number>()

  constructor (private readonly transport: HttpTransport, private readonly clock: Clock, private readonly options: DirectoryOptions) {
    this.entries = options.seeds.map((address) => ({ address, home: null }))
  }

  /** The address to use now: the best one that has not failed of late. */
  async choose (): Promise<Result<KnownEntry, CallFailure>> {
    if (this.clock.nowMs() >= this.expiresAtMs) await this.refresh()
    const best = this.usable()[0]
    return best === undefined ? failed({ kind: CallFailureKind.NotSent, message: 'no address of the system is known' }) : success(best)
  }

  /** Leaves an address out for a while; with what the system says of others, if it said so. */
  noteFailure (address: string, entries: readonly string[] = []): void {
    this.avoidUntilMs.set(address, this.clock.nowMs() + FAILED_ENTRY_PAUSE_MS)
    const fresh = entries.filter((entry) => this.entries.every((known) => known.address !== entry))
    this.entries = [...this.entries, ...fresh.map((entry) => ({ address: entry, home: null }))]
    this.expire()
  }

  /** Asks anew before the next choice. */
  expire (): void {
    this.expiresAtMs = -Infinity
  }

  /** The system's wall clock, for the issue stamps of ids; a caller's own clock may be far off. */
  systemWallMs (): number {
    return Math.round(this.clock.nowMs() + this.wallOffsetMs)
  }

  private usable (): KnownEntry[] {
    const nowMs = this.clock.nowMs()
    const good = this.entries.filter((entry) => (this.avoidUntilMs.get(entry.address) ?? -Infinity) <= nowMs)
    return good.length > 0 ? good : [...this.entries]
  }

  private refresh (): Promise<void> {
    this.refreshing ??= this.ask().finally(() => { this.refreshing = null })
    return this.refreshing
  }

  private async ask (): Promise<void> {
    const addresses = new Set([...this.usable().map((entry) => entry.address), ...this.options.seeds])
    for (const address of addresses) {
      if (await this.askOne(address)) return
    }
  }

  private async askOne (address: string): Promise<boolean> {
    const { failureDomain, caller } = this.options
    const query = new URLSearchParams({ caller, ...(failureDomain === null ? {} : { failureDomain }) })
    const answer = await this.transport.json({ address, method: 'GET', path: `/v1/entries?${query}`, headers: {}, body: null })
    if (!answer.ok) {
      this.avoidUntilMs.set(address, this.clock.nowMs() + FAILED_ENTRY_PAUSE_MS)
      return false
    }
    const parsed = directorySchema.safeParse(answer.value.body)
    if (!parsed.success || parsed.data.entries.length === 0) return false
    this.entries = parsed.data.entries
    this.expiresAtMs = this.clock.nowMs() + parsed.data.ttlMs
    this.wallOffsetMs = parsed.data.wallMs - this.clock.nowMs()
    return true
  }
}

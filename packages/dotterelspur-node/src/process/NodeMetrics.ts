import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'
import { ShedReason } from 'dotterelspur'
import type { Entry, EntryObserver, RequestReport } from 'dotterelspur-entry'
import type { Fleet } from 'dotterelspur-fleet'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { Mesh } from 'dotterelspur-mesh'
import type { AuditTrail, PlatformObjectStore } from 'dotterelspur-platform'

const PREFIX = 'dotterelspur_'
const QUANTILES: readonly number[] = [0.5, 0.95, 0.99]
const HIGHEST_TRACKABLE_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2

/** The parts of a node that keep counters of their own. */
export interface MeasuredParts {
  readonly store: PlatformObjectStore
  readonly leaseStore: PlatformObjectStore
  readonly mesh: Mesh
  readonly fleet: Fleet
  readonly entry: Entry
  readonly audit: AuditTrail
  readonly guard: ListenerGuard
}

/**
 * The node's metrics, in the registry that `/metrics` renders. Latencies are recorded in HDR histograms, which keep
 * their precision at the tail; their quantiles are computed when `/metrics` is read.
 */
export class NodeMetrics {
  readonly registry = new Registry()
  readonly entryObserver: EntryObserver
  private readonly requests = this.counter('requests_total', 'Requests that ended here', ['kind', 'team', 'outcome', 'reason'])
  private readonly retries = this.counter('request_retries_total', 'Further attempts at a request', ['team'])
  private readonly tokens = this.counter('generated_tokens_total', 'Tokens delivered to callers', ['team'])
  private readonly refusedUnknown = this.counter('refused_unknown_total', 'Non-idempotent ids refused because it can\'t be known whether they ran', ['reason'])
  private readonly events = this.counter('entry_events_total', 'Rare events of the entry', ['event'])
  private readonly firstTokenMs = createHistogram()
  private readonly durationMs = createHistogram()

  constructor () {
    this.entryObserver = this.createObserver()
    this.quantiles('first_token_ms', 'Time to the first token of model requests', this.firstTokenMs)
    this.quantiles('request_duration_ms', 'Time from taking a request in to its end', this.durationMs)
  }

  /** Registers the counters that the parts keep themselves. They are read each time `/metrics` is. */
  registerParts ({ store, leaseStore, mesh, fleet, entry, audit, guard: { load } }: MeasuredParts): void {
    this.snapshot('caller_load', 'What callers make this process hold, and the limit', 'what', () => ({ connections: load.connections, heldBytes: load.heldBytes, limitBytes: load.limits.heldBytes }))
    this.snapshot('connections_shed', 'Connections closed because of a limit, since the start', 'reason', () => Object.fromEntries(Object.values(ShedReason).map((reason) => [reason, load.shedCount(reason)])))
    this.snapshot('platform_calls', 'Calls to the platform since the start', 'kind', () => ({ ...store.calls }))
    this.snapshot('platform_lease_calls', 'Calls to the platform for leases since the start', 'kind', () => ({ ...leaseStore.calls }))
    this.snapshot('mesh_sent_bytes', 'Bytes sent to other nodes since the start', 'frame', () => bytesByKind(mesh.counters().sent))
    this.snapshot('mesh_received_bytes', 'Bytes received from other nodes since the start', 'frame', () => bytesByKind(mesh.counters().received))
    this.snapshot('mesh_sizes', 'What the mesh holds', 'what', () => ({ ...mesh.sizes() }))
    this.snapshot('mesh_refused', 'Connections between nodes that were refused', 'reason', () => ({ ...mesh.counters().refused }))
    this.snapshot('fleet_counts', 'What watcher and controller did since the start', 'what', () => flattenNumbers({ ...fleet.counts() }))
    this.snapshot('node_state', 'What this node holds now', 'what', () => ({
      leases: fleet.leases().length,
      runningRequests: entry.runningCount(),
      members: mesh.members().length,
      auditQueued: audit.queuedRecords,
      auditLost: audit.lostRecords,
      staleStoreAnswers: store.staleResponses,
      storeContactAgeMs: finiteOrMinusOne(mesh.storeContactAgeMs()),
      peerContactAgeMs: finiteOrMinusOne(mesh.peerContactAgeMs()),
      residentBytes: process.memoryUsage.rss()
    }))
  }

  private createObserver (): EntryObserver {
    const event = (name: string): void => { this.events.inc({ event: name }) }
    return {
      requestEnded: (report) => { this.countRequest(report) },
      attemptRetried: (team) => { this.retries.inc({ team }) },
      refusedAsUnknown: (reason) => { this.refusedUnknown.inc({ reason }) },
      staleDecision: () => { event('stale-choice') },
      forwardedToHome: () => { event('passed-to-home') },
      claimCall: () => { event('claim-call') },
      slowCallerDisconnected: () => { event('slow-caller-cut') },
      paused: () => { event('paused') }
    }
  }

  private countRequest (report: RequestReport): void {
    const { kind, team, outcome, durationMs, firstTokenMs, tokens } = report
    this.requests.inc({ kind, team, outcome: outcome.kind, reason: outcome.reason })
    this.tokens.inc({ team }, tokens)
    this.durationMs.recordValue(Math.min(durationMs, HIGHEST_TRACKABLE_MS))
    if (firstTokenMs !== null) this.firstTokenMs.recordValue(Math.min(firstTokenMs, HIGHEST_TRACKABLE_MS))
  }

  private counter (name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers: [this.registry] })
  }

  private quantiles (name: string, help: string, histogram: Histogram): void {
    const gauge: Gauge = new Gauge({
      name: `${PREFIX}${name}`,
      help,
      labelNames: ['quantile'],
      registers: [this.registry],
      collect: () => {
        for (const quantile of QUANTILES) gauge.set({ quantile }, histogram.getValueAtPercentile(quantile * 100))
      }
    })
  }

  private snapshot (name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void {
    const gauge: Gauge = new Gauge({
      name: `${PREFIX}${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => {
        for (const [key, value] of Object.entries(read())) gauge.set({ [label]: key }, value)
      }
    })
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_TRACKABLE_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

function bytesByKind (counts: Readonly<Record<string, { readonly bytes: number }>>): Record<string, number> {
  return Object.fromEntries(Object.entries(counts).map(([kind, count]) => [kind, count.bytes]))
}

/** The numeric fields of an object; those of a nested object are named `outer.inner`. */
function flattenNumbers (counts: Readonly<Record<string, unknown>>, prefix = ''): Record<string, number> {
  const flat: Record<string, number> = {}
  for (const [key, value] of Object.entries(counts)) {
    if (typeof value === 'number') flat[`${prefix}${key}`] = value
    else if (typeof value === 'object' && value !== null) Object.assign(flat, flattenNumbers(value as Record<string, unknown>, `${key}.`))
  }
  return flat
}

/** Replaces an infinite age (no contact yet) by -1, since an infinite sample is of no use in Prometheus. */
function finiteOrMinusOne (valueMs: number): number {
  return Number.isFinite(valueMs) ? valueMs : -1
}

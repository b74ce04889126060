import { buildAvailablePools, RefusalReason, type AvailablePools, type Clock, type EndpointId, type EndpointRecord, type Evacuation, type EvacuationChange, type FailureDomainId, type PlacementRefusal, type PoolKey, type ServiceLookup, type TargetPool } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { EvacuationRegistry } from './EvacuationRegistry.js'

/** Maximum length of a failure domain's name in a log line; operators' entries may have any name. */
const SHOWN_NAME_LENGTH = 80

export interface AvailableEndpointsParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly endpoints: EndpointRegistry
  /** Undefined where no failure domain is ever evacuated. */
  readonly evacuations: EvacuationRegistry | undefined
  readonly services: ServiceLookup
  /** Called after the evacuations have changed, when the pools must be built again. */
  readonly onChange: () => void
}

/**
 * Withholds the endpoints of evacuated failure domains from dispatch, and logs when this node's last running request in
 * an evacuated domain has ended.
 */
export class AvailableEndpoints {
  private available: AvailablePools = { pools: new Map(), evacuated: new Set() }
  /** Requests of this node in flight, by failure domain; those at endpoints that are no longer listed count too. */
  private readonly running = new Map<FailureDomainId, number>()
  /** Evacuations during which requests of this node still run in the failure domain. */
  private readonly draining = new Map<FailureDomainId, Evacuation>()

  constructor (private readonly parts: AvailableEndpointsParts) {
    parts.evacuations?.registerListener((change) => {
      this.noteChange(change)
      parts.onChange()
    })
    parts.evacuations?.registerSynchronizedListener(parts.onChange)
  }

  /**
   * Builds the pools. While the evacuations are unknown, there are none: a node that starts during an evacuation may
   * read the endpoints first, and would send requests into the evacuated domain.
   */
  rebuildPools (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): ReadonlyMap<PoolKey, TargetPool> {
    const { evacuations, services } = this.parts
    const known = evacuations === undefined || evacuations.isSynchronized ? endpoints : new Map<EndpointId, EndpointRecord>()
    this.available = buildAvailablePools(known, services, evacuations?.current ?? new Map())
    return this.available.pools
  }

  /** Restates a refusal for lack of endpoints whose cause is an evacuation. */
  explainRefusal (key: PoolKey, refusal: PlacementRefusal): PlacementRefusal {
    const isEvacuated = refusal.reason === RefusalReason.NoEndpoint && this.available.evacuated.has(key)
    return isEvacuated ? { ...refusal, reason: RefusalReason.Evacuated } : refusal
  }

  /** Failure domains that are evacuated, names of unknown ones included. */
  get evacuatedDomains (): number {
    return this.parts.evacuations?.current.size ?? 0
  }

  /** Requests of this node that still run in evacuated failure domains. */
  get requestsInEvacuatedDomains (): number {
    return [...this.parts.evacuations?.current.keys() ?? []].reduce((sum, failureDomain) => sum + this.runningIn(failureDomain), 0)
  }

  noteExchangeBegin (failureDomain: FailureDomainId): void {
    this.running.set(failureDomain, this.runningIn(failureDomain) + 1)
  }

  noteExchangeEnd (failureDomain: FailureDomainId): void {
    const left = this.runningIn(failureDomain) - 1
    if (left > 0) this.running.set(failureDomain, left)
    else this.running.delete(failureDomain)
    const evacuation = this.draining.get(failureDomain)
    if (evacuation !== undefined && left <= 0) this.logDrained(evacuation, this.parts.clock.nowMs() - evacuation.learnedAtMs)
  }

  private noteChange ({ begun, ended }: EvacuationChange): void {
    const nowMs = this.parts.clock.nowMs()
    for (const evacuation of ended) {
      this.draining.delete(evacuation.failureDomain)
      this.parts.log.write(LogKind.EvacuationEnded, { failureDomain: shownName(evacuation), forMs: Math.round(nowMs - evacuation.learnedAtMs) })
    }
    for (const evacuation of begun) {
      const endpoints = [...this.parts.endpoints.current.values()].filter(({ failureDomain }) => failureDomain === evacuation.failureDomain).length
      const runningRequests = this.runningIn(evacuation.failureDomain)
      this.parts.log.write(LogKind.EvacuationBegun, { failureDomain: shownName(evacuation), endpoints, runningRequests, storeVersion: evacuation.storeVersion })
      if (runningRequests > 0) this.draining.set(evacuation.failureDomain, evacuation)
      else this.logDrained(evacuation, null)
    }
  }

  /** @param lastRequestMs time from the evacuation until the last request ended; null if none was running. */
  private logDrained (evacuation: Evacuation, lastRequestMs: number | null): void {
    this.draining.delete(evacuation.failureDomain)
    this.parts.log.write(LogKind.EvacuationDrained, { failureDomain: shownName(evacuation), lastRequestMs: lastRequestMs === null ? null : Math.round(lastRequestMs) })
  }

  private runningIn (failureDomain: FailureDomainId): number {
    return this.running.get(failureDomain) ?? 0
  }
}

function shownName ({ failureDomain }: Evacuation): string {
  return failureDomain.slice(0, SHOWN_NAME_LENGTH)
}

import {
  EndpointErrorKind, NO_OBSERVATION, type Clock, type EndpointError, type EngineApi, type Observations, type Random, type VmId, type VmObservation,
  type VmStatus
} from 'dotterelspur'
import type { FleetTiming } from './FleetTiming.js'
import { Ticker } from './Ticker.js'

export interface ProbeTarget {
  readonly vm: VmId
  readonly address: string
  readonly intervalMs: number
}

interface Probe {
  target: ProbeTarget
  inFlight: boolean
  /** The probe is sent in the next batch from this time on. */
  dueAtMs: number
  firstSentAtMs: number | null
}

/** Called for each observation; `hasChanged` is true when it differs from the previous one in more than its time. */
export type ObservationListener = (vm: VmId, hasChanged: boolean) => void

/** Weight of the newest measurement in a VM's smoothed latency. */
const LATENCY_SMOOTHING = 0.2
const REFUSAL_RECHECK_MS = 100
/** A VM is a straggler when its smoothed latency is at least STRAGGLER_FLOOR_MS and STRAGGLER_FACTOR times the median. */
const STRAGGLER_FLOOR_MS = 100
const STRAGGLER_FACTOR = 4

/**
 * Probes the VMs that the watcher and the controllers of this node request, each VM at the shortest interval requested
 * for it. Probes that are due are sent in one batch, and each node starts its batches at a random phase. Most of a
 * probe's cost is waking the process up, and one wake-up serves a whole batch (docs/notes/presence.md).
 *
 * A refused connection counts at once, since no process is listening. A probe without a response changes nothing: the
 * VM's evidence ages and expires.
 */
export class Prober {
  private readonly targetsByRequester = new Map<string, readonly ProbeTarget[]>()
  private readonly probes = new Map<VmId, Probe>()
  private readonly latest = new Map<VmId, VmObservation>()
  private readonly latencies = new Map<VmId, number>()
  private probeCount = 0
  private readonly ticker: Ticker

  constructor (
    private readonly clock: Clock, random: Random, private readonly engines: Pick<EngineApi, 'probe'>,
    private readonly timing: Pick<FleetTiming, 'probeTimeoutMs' | 'probeIntervalMs'>, private readonly onObservation: ObservationListener,
    private readonly onError: (error: unknown) => void
  ) {
    this.ticker = new Ticker(clock, random, timing.probeIntervalMs, () => { this.sendDueProbes() }, onError)
  }

  start (): void {
    this.ticker.start()
  }

  get observations (): Observations {
    return this.latest
  }

  /** Number of probes sent since the start, for measuring the overhead of control. */
  get probesSent (): number {
    return this.probeCount
  }

  /** When the VM's first probe was sent since it became a target; null when none was sent or it isn't a target. */
  firstProbedAtMs (vm: VmId): number | null {
    return this.probes.get(vm)?.firstSentAtMs ?? null
  }

  targetsOf (requester: string): readonly ProbeTarget[] {
    return this.targetsByRequester.get(requester) ?? []
  }

  /** Whether a VM responds much more slowly than the others that this node probes. */
  isStraggling (vm: VmId): boolean {
    const latencyMs = this.latencies.get(vm)
    if (latencyMs === undefined || latencyMs < STRAGGLER_FLOOR_MS) return false
    const sorted = [...this.latencies.values()].sort((left, right) => left - right)
    return latencyMs >= STRAGGLER_FACTOR * sorted[Math.floor(sorted.length / 2)]!
  }

  /** Replaces the targets of one requester. */
  setTargets (requester: string, targets: readonly ProbeTarget[]): void {
    if (targets.length === 0) this.targetsByRequester.delete(requester)
    else this.targetsByRequester.set(requester, targets)
    this.reconcile()
  }

  /** Records a status from another response, such as that to an order sent at `askedAtMs`. */
  recordStatus (status: VmStatus, askedAtMs: number): void {
    if (this.probes.has(status.vm)) this.recordResponse(status.vm, status, askedAtMs)
  }

  stop (): void {
    this.ticker.stop()
    this.probes.clear()
  }

  private reconcile (): void {
    const merged = this.mergeTargets()
    for (const vm of this.probes.keys()) {
      if (!merged.has(vm)) this.removeProbe(vm)
    }
    for (const target of merged.values()) {
      const probe = this.probes.get(target.vm)
      if (probe === undefined) this.addProbe(target)
      else this.retarget(probe, target)
    }
  }

  private mergeTargets (): Map<VmId, ProbeTarget> {
    const merged = new Map<VmId, ProbeTarget>()
    for (const target of [...this.targetsByRequester.values()].flat()) {
      const known = merged.get(target.vm)
      if (known === undefined || target.intervalMs < known.intervalMs) merged.set(target.vm, target)
    }
    return merged
  }

  private removeProbe (vm: VmId): void {
    this.probes.delete(vm)
    this.latest.delete(vm)
    this.latencies.delete(vm)
  }

  /** Probes a new VM at once, so that a new controller soon has its status. */
  private addProbe (target: ProbeTarget): void {
    this.probes.set(target.vm, { target, inFlight: false, dueAtMs: this.clock.nowMs(), firstSentAtMs: null })
    this.ticker.trigger()
  }

  private retarget (probe: Probe, target: ProbeTarget): void {
    const hasMoved = target.address !== probe.target.address
    const nextDueAtMs = this.clock.nowMs() + (hasMoved ? 0 : target.intervalMs)
    probe.target = target
    probe.dueAtMs = Math.min(probe.dueAtMs, nextDueAtMs)
  }

  private sendDueProbes (): void {
    const toleranceMs = this.timing.probeIntervalMs / 2
    const nowMs = this.clock.nowMs()
    for (const probe of this.probes.values()) {
      if (!probe.inFlight && probe.dueAtMs <= nowMs + toleranceMs) this.sendProbe(probe).catch(this.onError)
    }
  }

  private async sendProbe (probe: Probe): Promise<void> {
    const { vm, address } = probe.target
    const askedAtMs = this.clock.nowMs()
    probe.inFlight = true
    probe.dueAtMs = askedAtMs + probe.target.intervalMs
    probe.firstSentAtMs ??= askedAtMs
    this.probeCount += 1
    const result = await this.engines.probe(address, this.timing.probeTimeoutMs).finally(() => { probe.inFlight = false })
    if (this.probes.get(vm) !== probe) return
    if (probe.target.address === address) {
      if (result.ok) this.recordResponse(vm, result.value, askedAtMs)
      else this.recordError(vm, result.error, askedAtMs)
    }
    if (result.ok) this.recordLatency(vm, this.clock.nowMs() - askedAtMs)
  }

  private recordResponse (vm: VmId, status: VmStatus, askedAtMs: number): void {
    const before = this.latest.get(vm) ?? NO_OBSERVATION
    if (before.evidence !== null && before.evidence.askedAtMs > askedAtMs) return
    const refusedLater = before.absentSinceMs !== null && before.absentSinceMs > askedAtMs
    this.storeObservation(vm, { evidence: { status, askedAtMs }, absentSinceMs: refusedLater ? before.absentSinceMs : null })
  }

  /**
   * A refused connection fails well before the timeout. A connection that isn't established in time proves nothing: the
   * packets may be lost, or the VM may be paused.
   */
  private recordError (vm: VmId, error: EndpointError, askedAtMs: number): void {
    const timedOut = this.clock.nowMs() - askedAtMs >= this.timing.probeTimeoutMs
    if (error.kind !== EndpointErrorKind.NotRun || timedOut) return
    const before = this.latest.get(vm) ?? NO_OBSERVATION
    const refusals = before.absentSinceMs === null ? 1 : (before.refusals ?? 0) + 1
    this.storeObservation(vm, { ...before, absentSinceMs: before.absentSinceMs ?? askedAtMs, refusals })
    if (refusals === 1) this.scheduleRecheck(vm)
  }

  /** A second refusal shows that the process has terminated; waiting a whole probe interval for it would only delay the repair. */
  private scheduleRecheck (vm: VmId): void {
    this.clock.registerTimer(REFUSAL_RECHECK_MS, () => {
      const probe = this.probes.get(vm)
      if (probe !== undefined && !probe.inFlight) this.sendProbe(probe).catch(this.onError)
    })
  }

  private recordLatency (vm: VmId, latencyMs: number): void {
    const before = this.latencies.get(vm)
    this.latencies.set(vm, before === undefined ? latencyMs : before + LATENCY_SMOOTHING * (latencyMs - before))
  }

  private storeObservation (vm: VmId, observation: VmObservation): void {
    const before = this.latest.get(vm)
    this.latest.set(vm, observation)
    this.onObservation(vm, before === undefined || contentOf(before) !== contentOf(observation))
  }
}

function contentOf ({ evidence, absentSinceMs, refusals }: VmObservation): string {
  const status = evidence?.status
  return [absentSinceMs, refusals, status?.incarnation, status?.state, status?.group, status?.formation].join()
}

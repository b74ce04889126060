import { declaredFirstEventMs, eventGapMs, paceOf, type DispatchTarget, type EngineSpec, type ServiceId } from 'dotterelspur'
import type { FleetView } from './FleetView.js'
import type { ManifestFollower } from './ManifestFollower.js'

/** Expected time between an endpoint's events, at its current load and measured speed. */
export class EngineTiming {
  constructor (private readonly manifest: ManifestFollower, private readonly fleetView: FleetView) {}

  /** Null for plain services. */
  engine (service: ServiceId): EngineSpec | null {
    return this.manifest.current?.service(service)?.engine ?? null
  }

  /** Null for plain services. */
  declaredFirstEventMs (target: DispatchTarget, promptTokens: number, nowMs: number): number | null {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return null
    return declaredFirstEventMs(engine, this.currentPace(engine, target, nowMs), this.currentLoad(target, nowMs), promptTokens)
  }

  /** Longest pause of all streams of a working endpoint at the same time. */
  pauseLimitMs (target: DispatchTarget, nowMs: number): number {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return Infinity
    return this.fleetView.pauses.limitMs(target.model, engine, this.currentPace(engine, target, nowMs), this.currentLoad(target, nowMs), nowMs)
  }

  /** Records the gap between two events of one stream. */
  noteGap (target: DispatchTarget, gapMs: number, nowMs: number): void {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return
    this.fleetView.pauses.noteGap(target.model, gapMs, nowMs)
    this.fleetView.speeds.noteGap(target.endpoint, gapMs, eventGapMs(engine, paceOf(engine, target), this.currentLoad(target, nowMs)), nowMs)
  }

  /** Scales the declared pace by a slow endpoint's measured slowness; an endpoint faster than declared counts as normal. */
  private currentPace (engine: EngineSpec, target: DispatchTarget, nowMs: number): number {
    return paceOf(engine, target) * Math.max(1, this.fleetView.speeds.slowness(target.endpoint, nowMs))
  }

  private currentLoad ({ endpoint }: DispatchTarget, nowMs: number): number {
    return this.fleetView.load.estimate(endpoint, 0, nowMs)
  }
}

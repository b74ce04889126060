import { declaredFirstEventMs, eventGapMs, paceOf, type DispatchTarget, type EngineSpec, type ServiceId } from 'dotterelspur'
import type { FleetKnowledge } from './FleetKnowledge.js'
import type { ManifestKeeper } from './ManifestKeeper.js'

/** What an endpoint's engine should need for its events, at the load and the speed that the endpoint has now. */
export class EngineExpectations {
  constructor (private readonly manifest: ManifestKeeper, private readonly knowledge: FleetKnowledge) {}

  /** Null for plain services. */
  engine (service: ServiceId): EngineSpec | null {
    return this.manifest.current?.service(service)?.engine ?? null
  }

  /** Null for plain services. */
  declaredFirstEventMs (target: DispatchTarget, promptTokens: number, nowMs: number): number | null {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return null
    return declaredFirstEventMs(engine, this.presentPace(engine, target, nowMs), this.present(target, nowMs), promptTokens)
  }

  /** How long all streams of an endpoint may pause at once while it works. */
  pauseLimitMs (target: DispatchTarget, nowMs: number): number {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return Infinity
    return this.knowledge.pauses.limitMs(target.model, engine, this.presentPace(engine, target, nowMs), this.present(target, nowMs), nowMs)
  }

  /** Takes in a pause between two events of one stream. */
  noteGap (target: DispatchTarget, gapMs: number, nowMs: number): void {
    const engine = this.engine(target.service)
    if (engine === null || target.model === null) return
    this.knowledge.pauses.noteGap(target.model, gapMs, nowMs)
    this.knowledge.speeds.noteGap(target.endpoint, gapMs, eventGapMs(engine, paceOf(engine, target), this.present(target, nowMs)), nowMs)
  }

  /** A slow endpoint's times are multiples of those that its engine declares; a fast one is taken for sound. */
  private presentPace (engine: EngineSpec, target: DispatchTarget, nowMs: number): number {
    return paceOf(engine, target) * Math.max(1, this.knowledge.speeds.slowness(target.endpoint, nowMs))
  }

  private present ({ endpoint }: DispatchTarget, nowMs: number): number {
    return this.knowledge.load.estimate(endpoint, 0, nowMs)
  }
}

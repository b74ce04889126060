import { EngineState, VmPresence } from 'dotterelspur'
import type { AssignedGroup, FabricDomainId, VmHealth, VmId, VmStatus } from 'dotterelspur'
import type { WeightStoreModel } from './WeightStoreModel.js'

const NO_LOAD = { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 }

/** One VM as it really is; the planner sees it only through `health`. */
export class VmModel {
  incarnation = 1
  /** Silent until this time; 0 when it answers. */
  downUntilMs = 0
  downSinceMs = 0
  leaving = false
  straggling = false
  private loadedAtMs = Infinity
  private group: string | null = null
  private formation = 0
  private readyAtMs = Infinity

  constructor (readonly vm: VmId, private readonly fabricDomain: FabricDomainId, private readonly joinMs: number, private readonly store: WeightStoreModel) {}

  isUp (nowMs: number): boolean {
    return nowMs >= this.downUntilMs
  }

  goDown (nowMs: number, untilMs: number): void {
    if (this.isUp(nowMs)) this.downSinceMs = nowMs
    this.downUntilMs = Math.max(this.downUntilMs, untilMs)
  }

  /** Another process: what it held is gone. */
  restart (): void {
    this.incarnation += 1
    this.leaving = false
    this.loadedAtMs = Infinity
    this.group = null
    this.formation = 0
    this.readyAtMs = Infinity
  }

  /** Takes part in a formation, loading first what it lacks. */
  join (group: AssignedGroup, nowMs: number): void {
    if (this.group === group.group && this.formation === group.formation) return
    this.group = group.group
    this.formation = group.formation
    this.load(nowMs)
    this.readyAtMs = Math.max(nowMs, this.loadedAtMs) + this.joinMs
  }

  load (nowMs: number): void {
    if (this.loadedAtMs === Infinity) this.loadedAtMs = this.store.load(nowMs)
  }

  release (): void {
    this.group = null
    this.readyAtMs = Infinity
  }

  isReadyAt (group: AssignedGroup, nowMs: number): boolean {
    return this.isUp(nowMs) && this.group === group.group && this.formation === group.formation && nowMs >= this.readyAtMs
  }

  /** The next time at which its state changes by itself. */
  nextChangeMs (nowMs: number): number {
    const times = [this.downUntilMs, this.readyAtMs, this.loadedAtMs].filter((atMs) => atMs > nowMs)
    return Math.min(...times, Infinity)
  }

  health (nowMs: number, evidenceTtlMs: number): VmHealth {
    const up = this.isUp(nowMs)
    const seenDown = !up && nowMs - this.downSinceMs >= evidenceTtlMs
    return {
      vm: this.vm,
      incarnation: this.incarnation,
      address: this.vm,
      fabricDomain: this.fabricDomain,
      presence: seenDown ? VmPresence.Absent : VmPresence.Present,
      absentSinceMs: seenDown ? this.downSinceMs : null,
      status: seenDown ? null : this.status(nowMs),
      leaving: this.leaving,
      drained: false,
      straggling: this.straggling
    }
  }

  private status (nowMs: number): VmStatus {
    const loaded = nowMs >= this.loadedAtMs
    const joinState = nowMs >= this.readyAtMs ? EngineState.Ready : EngineState.Loading
    return {
      vm: this.vm,
      incarnation: this.incarnation,
      state: this.group === null ? EngineState.Idle : joinState,
      group: this.group,
      formation: this.formation,
      model: this.group === null ? null : 'model',
      version: this.group === null ? null : 'v1',
      adapters: [],
      loaded: loaded ? [{ model: 'model', version: 'v1', adapters: [] }] : [],
      fencing: 0,
      load: NO_LOAD
    }
  }
}

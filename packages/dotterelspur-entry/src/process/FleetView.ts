import {
  ASSIGNMENT_PREFIX, DRAIN_PREFIX, TargetKind, dispatchableGroups, groupTargetId, checkDispatch, serviceTargetId,
  type AssignmentObject, type Clock, type DrainObject, type GroupView, type MeshApi, type RouteTarget, type ServicePresence, type ServiceTarget, type Teardown, type TeamId
} from 'dotterelspur'

const REFRESH_MS = 200

/**
 * The groups and workers that this node may dispatch to, derived from assignments, drains and presence evidence. Targets are
 * chosen from a table that is refreshed a few times a second; right before a request is sent, its target is checked again
 * against the current state.
 */
export class FleetView {
  private assignments: readonly AssignmentObject[] = []
  private drained: ReadonlySet<string> = new Set()
  private groups: ReadonlyMap<string, GroupView> = new Map()
  private workers: ReadonlyMap<string, ServicePresence> = new Map()
  private readonly listeners = new Set<(targets: readonly RouteTarget[]) => void>()

  constructor (private readonly mesh: MeshApi, private readonly clock: Clock, private readonly evidenceTtlMs: number) {}

  start (): Teardown {
    let cancelTimer: Teardown = () => {}
    const run = (): void => {
      this.refresh()
      cancelTimer = this.clock.registerTimer(REFRESH_MS, run)
    }
    const unregisters = [ASSIGNMENT_PREFIX, DRAIN_PREFIX].map((prefix) => this.mesh.registerDocumentListener(prefix, () => {
      this.readDocuments()
      this.refresh()
    }))
    this.readDocuments()
    run()
    return () => {
      cancelTimer()
      for (const unregister of unregisters) unregister()
    }
  }

  /** Called with all targets after each refresh. */
  registerListener (listener: (targets: readonly RouteTarget[]) => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  refresh (): void {
    const nowMs = this.clock.nowMs()
    const groups = dispatchableGroups({ assignments: this.assignments, presence: this.mesh.groupPresence(), ...this.bounds() })
    this.groups = new Map(groups.map((view) => [view.group, view]))
    const workers = this.presentWorkers()
    this.workers = new Map(workers.map((worker) => [worker.vm, worker]))
    const targets = [...groups.map((view) => this.toGroupTarget(view, nowMs)), ...workers.map((worker) => this.toServiceTarget(worker, nowMs))]
    for (const listener of [...this.listeners]) listener(targets)
  }

  group (group: string): GroupView | undefined {
    return this.groups.get(group)
  }

  /** Groups of a team that could hold a stream of its model. */
  groupsOf (team: TeamId): readonly GroupView[] {
    return [...this.groups.values()].filter((view) => view.team === team)
  }

  worker (vm: string): ServicePresence | undefined {
    return this.workers.get(vm)
  }

  /** Whether the group may be dispatched to now, at the formation of `view`. */
  isDispatchable (view: GroupView): boolean {
    const assignment = this.assignments.find((candidate) => candidate.fabricDomain === view.fabricDomain)
    const assigned = assignment?.groups.find((candidate) => candidate.group === view.group)
    if (assignment === undefined || assigned === undefined || assigned.formation !== view.formation) return false
    const presence = this.mesh.groupPresence().find((line) => line.group === view.group)
    return checkDispatch(assignment, assigned, presence, this.bounds()).view !== null
  }

  /** Whether a worker of a plain service may be dispatched to now, at the given address. */
  isWorkerDispatchable (vm: string, address: string): boolean {
    return this.presentWorkers().some((worker) => worker.vm === vm && worker.address === address)
  }

  private bounds (): { readonly drained: ReadonlySet<string>, readonly evidenceTtlMs: number } {
    return { drained: this.drained, evidenceTtlMs: this.evidenceTtlMs }
  }

  private readDocuments (): void {
    this.assignments = this.liveBodies<AssignmentObject>(ASSIGNMENT_PREFIX)
    this.drained = new Set(this.liveBodies<DrainObject>(DRAIN_PREFIX).map((drain) => drain.target))
  }

  private liveBodies<Body> (prefix: string): Body[] {
    return this.mesh.documents(prefix).filter((document) => !document.deleted).map((document) => document.body as Body)
  }

  private presentWorkers (): ServicePresence[] {
    return this.mesh.servicePresence().filter((worker) => worker.present && !worker.leaving && worker.ageMs < this.evidenceTtlMs && !this.drained.has(worker.vm))
  }

  private toGroupTarget (view: GroupView, nowMs: number): RouteTarget {
    return {
      kind: TargetKind.Group,
      id: groupTargetId(view.group, view.formation),
      address: view.leaderAddress,
      region: view.region,
      failureDomain: view.failureDomain,
      evidenceExpiresAtMs: nowMs - view.evidenceAgeMs + this.evidenceTtlMs,
      leaving: false,
      load: view.load,
      loadRequestedAtMs: nowMs - view.evidenceAgeMs,
      group: view.group,
      formation: view.formation,
      model: teamScoped(view.team, view.model),
      version: view.version,
      adapters: view.adapters
    }
  }

  private toServiceTarget (worker: ServicePresence, nowMs: number): ServiceTarget {
    return {
      kind: TargetKind.Service,
      id: serviceTargetId(worker.service, worker.vm, worker.incarnation),
      address: worker.address,
      region: this.mesh.self.region,
      failureDomain: worker.failureDomain,
      evidenceExpiresAtMs: nowMs - worker.ageMs + this.evidenceTtlMs,
      leaving: false,
      load: worker.load,
      loadRequestedAtMs: nowMs - worker.ageMs,
      service: worker.service,
      vm: worker.vm,
      incarnation: worker.incarnation
    }
  }
}

/** Qualifies a name by its team: two teams may use the same model name, and their groups must never be mixed. */
export function teamScoped (team: TeamId, name: string): string {
  return `${team}/${name}`
}

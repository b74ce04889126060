import { ASSIGNMENT_PREFIX, DEFAULT_EVIDENCE_TTL_MS, DEFAULT_LEASE_TIMING, groupAtStepIn, mayOrder, readStepIn, takesNewWork, type AssignedGroup, type AssignmentObject, type GroupId } from 'dotterelspur'
import type { FleetWorld, WorldNode } from './FleetWorld.js'

/** Allowance for the clock's step size, and for a last successful probe that was sent in the instant before a fault. */
const WINDOW_SLACK_MS = 40

/** Checks the invariants after each step of a world, and throws on a violation. */
export class FleetInvariants {
  private readonly formations = new Map<GroupId, number>()
  private readonly fencing = new Map<string, number>()
  private readonly brokenSinceMs = new Map<string, number>()
  private readonly checkedOrders = new Map<string, number>()

  constructor (private readonly world: FleetWorld) {}

  check (): void {
    this.checkAssignedOnce()
    this.checkFencing()
    this.checkOneHolder()
    this.checkOrders()
    this.checkDispatch()
  }

  private assignments (): readonly AssignmentObject[] {
    return this.world.table.list(ASSIGNMENT_PREFIX).objects.map((object) => object.body as AssignmentObject)
  }

  private checkAssignedOnce (): void {
    const places = new Set<string>()
    for (const group of this.assignments().flatMap((assignment) => assignment.groups)) {
      for (const { vm } of [...group.members, ...group.standbys]) {
        this.expect(!places.has(vm), `VM ${vm} is assigned twice`)
        places.add(vm)
      }
      this.expect(group.formation >= (this.formations.get(group.group) ?? 0), `formation of ${group.group} decreased`)
      this.formations.set(group.group, group.formation)
    }
  }

  private checkFencing (): void {
    const numbers: Array<readonly [string, number]> = this.assignments().map((assignment) => [assignment.fabricDomain, assignment.fencing])
    for (const failureDomain of ['fd-1', 'fd-2']) {
      const lease = this.world.lease(failureDomain)
      if (lease !== undefined) numbers.push([failureDomain, lease.fencing])
    }
    for (const [subject, fencing] of numbers) {
      this.expect(fencing >= (this.fencing.get(subject) ?? 0), `fencing number of ${subject} decreased`)
      this.fencing.set(subject, fencing)
    }
  }

  private checkOneHolder (): void {
    const nowMs = this.world.clock.nowMs()
    const able = this.world.nodes.filter((node) => node.alive && !node.clock.paused)
    for (const failureDomain of ['fd-1', 'fd-2']) {
      const holders = able.filter((node) => node.fleet.leases().some((term) => term.failureDomain === failureDomain && mayOrder(term, DEFAULT_LEASE_TIMING, nowMs)))
      this.expect(holders.length <= 1, `${holders.length} nodes hold the lease of ${failureDomain}`)
    }
  }

  /** Within one incarnation, a VM that checks fencing numbers executes orders in ascending order of their numbers. */
  private checkOrders (): void {
    for (const engine of this.world.engines.vms.values()) {
      const key = `${engine.vm}.${engine.incarnation}`
      this.expect(engine.fencing >= (this.checkedOrders.get(key) ?? 0), `${engine.vm} executed an order with a lower fencing number`)
      this.checkedOrders.set(key, engine.fencing)
    }
  }

  private checkDispatch (): void {
    for (const node of this.world.nodes) {
      if (!node.alive || node.clock.paused) continue
      for (const group of dispatchable(node)) this.checkDispatchWindow(group)
    }
  }

  private checkDispatchWindow (group: AssignedGroup): void {
    const nowMs = this.world.clock.nowMs()
    const key = `${group.group}@${group.formation}`
    const brokenSinceMs = this.brokenSinceMs.get(key) ?? nowMs
    if (this.world.isActuallyComplete(group)) this.brokenSinceMs.delete(key)
    else this.brokenSinceMs.set(key, brokenSinceMs)
    this.expect(nowMs - brokenSinceMs <= DEFAULT_EVIDENCE_TTL_MS + WINDOW_SLACK_MS, `${key} is dispatched to ${nowMs - brokenSinceMs} ms after it lost a member`)
  }

  private expect (holds: boolean, violation: string): void {
    if (!holds) throw new Error(`at ${this.world.clock.nowMs()} ms: ${violation}`)
  }
}

/** The groups that an entry on this node would dispatch to, by the node's copy of assignments and presence. */
export function dispatchable (node: WorldNode): readonly AssignedGroup[] {
  const presence = new Map(node.mesh.groupPresence().map((line) => [line.group, line]))
  const assigned = node.mesh.documents(ASSIGNMENT_PREFIX).flatMap((document) => (document.body as AssignmentObject).groups)
  return assigned.flatMap((group) => {
    const line = presence.get(group.group)
    if (line === undefined || !line.complete || line.ageMs >= DEFAULT_EVIDENCE_TTL_MS) return []
    if (line.formation === group.formation) return [group]
    const derived = takesNewWork(group.state) ? readStepIn(group, line.formation) : null
    return derived === null ? [] : [groupAtStepIn(group, derived)]
  })
}

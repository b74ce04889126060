import { type AssignedGroup, type AssignmentObject, type LeaseObject } from 'dotterelspur'
import { startCluster, type Cluster, type ClusterNode } from 'dotterelspur-demo'
import { VmFaultKind } from 'dotterelspur-testkit'
import { GroupWatch } from './GroupWatch.js'

/** What one cluster showed, in milliseconds unless the name says otherwise. */
export interface RecoveryRound {
  readonly seed: number
  readonly notDispatchedMs: number
  readonly servingAgainMs: number
  readonly pausedNotDispatchedMs: number
  readonly takeoverAfterKillMs: number
  readonly takeoverAfterDrainMs: number
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  readonly waitingWatches: number
}

const LIMIT_MS = 30_000
const SETTLE_MS = 4_000
const COUNT_MS = 10_000

/** One cluster of the demo, with one fault after the other. */
export async function runRecovery (seed: number): Promise<RecoveryRound> {
  const cluster = await startCluster({ seed })
  try {
    const watch = new GroupWatch(cluster)
    await settle(SETTLE_MS)
    const calls = await countCalls(cluster)
    const killed = await killMember(cluster, watch)
    const pausedNotDispatchedMs = await pauseMember(cluster, watch)
    const takeoverAfterKillMs = await endHolder(cluster, watch, (node) => node.process.kill())
    const takeoverAfterDrainMs = await endHolder(cluster, watch, async (node) => { node.process.signal('SIGTERM') })
    return { seed, ...killed, pausedNotDispatchedMs, takeoverAfterKillMs, takeoverAfterDrainMs, ...calls }
  } finally {
    await cluster.stop()
  }
}

async function settle (durationMs: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, durationMs) })
}

async function countCalls (cluster: Cluster): Promise<Pick<RecoveryRound, 'readsPerSecond' | 'writesPerSecond' | 'waitingWatches'>> {
  const before = cluster.platform.calls
  await settle(COUNT_MS)
  const after = cluster.platform.calls
  const perSecond = (kind: 'reads' | 'writes'): number => (after[kind] - before[kind]) / (COUNT_MS / 1_000)
  return { readsPerSecond: perSecond('reads'), writesPerSecond: perSecond('writes'), waitingWatches: after.waitingWatches }
}

/** Kills the member of rank 1 of a group that has a standby. */
async function killMember (cluster: Cluster, watch: GroupWatch): Promise<Pick<RecoveryRound, 'notDispatchedMs' | 'servingAgainMs'>> {
  const { group } = groupsWithStandby(watch)[0]!
  await cluster.endpoints.fault(group.members[1]!.vm, { kind: VmFaultKind.Kill })
  const startMs = performance.now()
  const notDispatchedMs = await watch.until('no node dispatches', async () => !await isDispatched(watch, group), LIMIT_MS)
  await watch.until('every node dispatches again', async () => (await watch.seenBy(group.group)).every((line) => line?.serving === true && line.formation > group.formation), LIMIT_MS)
  return { notDispatchedMs, servingAgainMs: performance.now() - startMs }
}

/** Stops the member of rank 1 of another group for a moment: it answers nothing and refuses nothing. */
async function pauseMember (cluster: Cluster, watch: GroupWatch): Promise<number> {
  const { group } = groupsWithStandby(watch).at(-1)!
  const { vm } = group.members[1]!
  await cluster.endpoints.fault(vm, { kind: VmFaultKind.Pause })
  const stoppedMs = await watch.until('no node dispatches', async () => !await isDispatched(watch, group), LIMIT_MS)
  await cluster.endpoints.fault(vm, { kind: VmFaultKind.Resume })
  await watch.until('every node dispatches again', async () => (await watch.seenBy(group.group)).every((line) => line?.serving === true), LIMIT_MS)
  return stoppedMs
}

async function isDispatched (watch: GroupWatch, group: AssignedGroup): Promise<boolean> {
  const lines = await watch.seenBy(group.group)
  return lines.some((line) => line?.serving === true && line.formation === group.formation)
}

function groupsWithStandby (watch: GroupWatch): ReadonlyArray<{ readonly assignment: AssignmentObject, readonly group: AssignedGroup }> {
  return watch.assignments().flatMap((assignment) => assignment.groups.filter((group) => group.standbys.length > 0).map((group) => ({ assignment, group })))
}

/** Ends the holder of the first lease that a running node holds, and waits until another has made its assignments its own. */
async function endHolder (cluster: Cluster, watch: GroupWatch, end: (node: ClusterNode) => Promise<void>): Promise<number> {
  const lease = leasesOf(cluster).find((one) => holderOf(cluster, one) !== undefined)!
  const node = holderOf(cluster, lease)!
  await end(node)
  const takeoverMs = await watch.until('another node decides', () => decidesAbove(cluster, watch, lease), LIMIT_MS)
  await node.process.kill()
  node.process.start()
  await settle(SETTLE_MS)
  return takeoverMs
}

function leasesOf (cluster: Cluster): readonly LeaseObject[] {
  return cluster.platform.objects.list('leases/').objects.map((object) => object.body as LeaseObject)
}

function holderOf (cluster: Cluster, lease: LeaseObject): ClusterNode | undefined {
  return cluster.nodes.find((node) => node.plan.id === lease.holder && node.process.running)
}

function decidesAbove (cluster: Cluster, watch: GroupWatch, before: LeaseObject): boolean {
  const lease = leasesOf(cluster).find((one) => one.failureDomain === before.failureDomain)!
  const assignments = watch.assignments().filter((assignment) => assignment.failureDomain === before.failureDomain)
  return lease.fencing > before.fencing && assignments.every((assignment) => assignment.fencing === lease.fencing)
}

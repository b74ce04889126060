import {
  GroupState, LEASE_PREFIX, homeOf, success,
  type AssignedGroup, type AssignmentObject, type GroupPresence, type LeaseObject, type MeshApi, type NodeState, type Result
} from 'dotterelspur'
import type { AdminError, EndpointList, GroupList, LeaseList, NodeList, StatusReply } from 'dotterelspur-settings'
import { finiteOrNull, meshSourceFields, type AdminContext, type AdminRequest, type AdminRoute } from './AdminRoute.js'
import { AdminAccess, canView } from './AdminScope.js'
import { assignmentsOf, drainedTargets } from './fleetViews.js'

type GroupRow = GroupList['groups'][number]
type EndpointRow = EndpointList['endpoints'][number]

/**
 * Routes for the state of the fleet as this node sees it. All data except the list of VMs comes from local copies,
 * so that it is available while the store is out.
 */
export const FLEET_ROUTES: readonly AdminRoute[] = [
  { method: 'GET', url: '/admin/status', access: AdminAccess.Fleet, handler: readStatus },
  { method: 'GET', url: '/admin/nodes', access: AdminAccess.Fleet, handler: listNodes },
  { method: 'GET', url: '/admin/leases', access: AdminAccess.Fleet, handler: listLeases },
  { method: 'GET', url: '/admin/groups', access: AdminAccess.Operator, handler: listGroups },
  { method: 'GET', url: '/admin/endpoints', access: AdminAccess.Fleet, handler: listEndpoints }
]

const STATE_CAN_SERVE: Readonly<Record<GroupState, boolean>> = {
  [GroupState.Forming]: true,
  [GroupState.Serving]: true,
  [GroupState.Draining]: false,
  [GroupState.Broken]: false
}

function createGroupRows ({ backend, options }: AdminContext): readonly GroupRow[] {
  const presence = new Map(backend.mesh.groupPresence().map((evidence) => [evidence.group, evidence]))
  const drained = drainedTargets(backend.mesh)
  return assignmentsOf(backend.mesh).flatMap((assignment) => assignment.groups.map((group) => {
    const evidence = presence.get(group.group)
    const formationMatches = evidence !== undefined && evidence.formation === group.formation
    const serving = formationMatches && isServing(group, evidence, options.evidenceTtlMs) && !drained.has(group.group)
    return createGroupRow(assignment, group, formationMatches ? evidence : undefined, serving)
  }))
}

function isServing (group: AssignedGroup, evidence: GroupPresence, evidenceTtlMs: number): boolean {
  return STATE_CAN_SERVE[group.state] && evidence.complete && !evidence.leaving && evidence.ageMs < evidenceTtlMs
}

function createGroupRow (assignment: AssignmentObject, group: AssignedGroup, evidence: GroupPresence | undefined, serving: boolean): GroupRow {
  return {
    group: group.group,
    team: group.team,
    model: group.model,
    version: group.version,
    failureDomain: assignment.failureDomain,
    fabricDomain: assignment.fabricDomain,
    formation: group.formation,
    state: group.state,
    serving,
    evidenceAgeMs: evidence === undefined ? null : finiteOrNull(evidence.ageMs),
    members: [...group.members],
    standbys: [...group.standbys],
    cause: group.cause,
    sinceWallMs: group.sinceWallMs,
    running: evidence?.load.running ?? null,
    waiting: evidence?.load.waiting ?? null
  }
}

function listGroups (request: AdminRequest, context: AdminContext): Result<GroupList, AdminError> {
  const groups = createGroupRows(context).filter((row) => canView(request.scope, row.team))
  return success({ ...meshSourceFields(context.backend), groups: [...groups] })
}

function listNodes (_request: AdminRequest, { backend }: AdminContext): Result<NodeList, AdminError> {
  const nodes = backend.mesh.members().map(({ node, incarnation, state, region, failureDomain, meshAddress, entryAddress, adminAddress }) => ({
    node, incarnation, state, region, failureDomain, meshAddress, entryAddress, adminAddress
  }))
  return success({ answeredBy: backend.mesh.self.node, nodes })
}

function leasesOf (mesh: MeshApi): readonly LeaseObject[] {
  return mesh.documents(LEASE_PREFIX).filter((document) => !document.deleted).map((document) => document.body as LeaseObject)
}

function listLeases (_request: AdminRequest, { backend }: AdminContext): Result<LeaseList, AdminError> {
  const states = new Map<string, NodeState>(backend.mesh.members().map((member) => [homeOf(member), member.state]))
  const leases = leasesOf(backend.mesh).map(({ failureDomain, holder, holderIncarnation, fencing, ttlMs, renewal, released }) => {
    const holderState = states.get(homeOf({ node: holder, incarnation: holderIncarnation })) ?? null
    return { failureDomain, holder, holderIncarnation, fencing, ttlMs, renewal, released, holderState }
  })
  return success({ ...meshSourceFields(backend), leases })
}

/** The platform's list of VMs, joined with the assignments and the service presence; only the latter two while the list can't be read. */
async function listEndpoints (_request: AdminRequest, { backend }: AdminContext): Promise<Result<EndpointList, AdminError>> {
  const drained = drainedTargets(backend.mesh)
  const rows = new Map<string, EndpointRow>()
  for (const row of [...createAssignedRows(backend.mesh), ...createServiceRows(backend.mesh)]) rows.set(row.vm, row)
  const listing = await backend.vms.list()
  for (const record of listing.ok ? listing.value.vms : []) {
    const assigned = rows.get(record.vm)
    rows.set(record.vm, {
      vm: record.vm,
      role: record.role,
      listState: record.state,
      failureDomain: record.failureDomain,
      fabricDomain: record.fabricDomain,
      incarnation: record.incarnation,
      address: record.address,
      group: assigned?.group ?? null,
      standby: assigned?.standby ?? false,
      service: record.service ?? null,
      drained: false
    })
  }
  const endpoints = [...rows.values()].map((row) => ({ ...row, drained: drained.has(row.vm) }))
  return success({ listed: listing.ok, endpoints: endpoints.sort((left, right) => left.vm < right.vm ? -1 : 1) })
}

function createAssignedRows (mesh: MeshApi): EndpointRow[] {
  return assignmentsOf(mesh).flatMap(({ failureDomain, fabricDomain, groups }) => groups.flatMap((group) => {
    const common = { role: 'engine', listState: null, failureDomain, fabricDomain, group: group.group, service: null, drained: false }
    const members = group.members.map((member) => ({ ...common, ...member, standby: false }))
    return [...group.standbys.map((member) => ({ ...common, ...member, standby: true })), ...members]
  }))
}

function createServiceRows (mesh: MeshApi): EndpointRow[] {
  return mesh.servicePresence().map(({ vm, incarnation, service, failureDomain, address }) => ({
    vm, role: 'service', listState: null, failureDomain, fabricDomain: '', incarnation, address, group: null, standby: false, service, drained: false
  }))
}

function countBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const item of items) counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1
  return counts
}

function readStatus (_request: AdminRequest, context: AdminContext): Result<StatusReply, AdminError> {
  const { backend, teams } = context
  const { self } = backend.mesh
  const groups = createGroupRows(context)
  const serving = groups.filter((row) => row.serving).length
  return success({
    ...meshSourceFields(backend),
    node: self.node,
    incarnation: self.incarnation,
    state: self.state,
    region: self.region,
    failureDomain: self.failureDomain,
    ready: backend.readiness().ready,
    peerContactAgeMs: finiteOrNull(backend.mesh.peerContactAgeMs()),
    nodes: countBy(backend.mesh.members(), (member) => member.state),
    groups: { serving, notServing: groups.length - serving, byState: countBy(groups, (row) => row.state) },
    teams: teams.entries().length,
    leases: leasesOf(backend.mesh).filter((lease) => !lease.released).length,
    drains: drainedTargets(backend.mesh).size
  })
}

import { GroupState, rendezvousOrder } from 'dotterelspur'
import type { AssignmentObject, GroupPresence, MeshDocument, NodeMember, TeamObject, VmListDocument } from 'dotterelspur'
import { VmListState, VmRole, vmListKey } from 'dotterelspur'

/** The sizes of one measured fleet. */
export interface TopologySettings {
  readonly regions: number
  readonly failureDomains: number
  readonly nodes: number
  readonly groups: number
  readonly vmsPerGroup: number
  readonly teams: number
  /** Length of a team's settings text. */
  readonly teamTextBytes: number
  readonly changesPerSecond: number
  readonly seed: number
}

export interface NodePlace {
  readonly index: number
  readonly self: Pick<NodeMember, 'node' | 'incarnation' | 'region' | 'failureDomain' | 'entryAddress' | 'adminAddress'>
}

export interface GroupPlace {
  readonly group: string
  readonly failureDomain: string
  readonly fabricDomain: string
  readonly region: string
}

const WATCHERS = 2
const SECONDS_2024 = 1_700_000_000_000

function failureDomainName (index: number): string {
  return `domain-${index}`
}

function regionName (settings: TopologySettings, failureDomain: number): string {
  return `region-${failureDomain % settings.regions}`
}

/** Nodes spread evenly over failure domains, and those over regions. */
export function nodePlaces (settings: TopologySettings): NodePlace[] {
  return Array.from({ length: settings.nodes }, (_, index) => {
    const failureDomain = index % settings.failureDomains
    return {
      index,
      self: {
        node: `node-${index}`,
        incarnation: 1,
        region: regionName(settings, failureDomain),
        failureDomain: failureDomainName(failureDomain),
        entryAddress: `http://10.0.${index >> 8}.${index & 255}:8080`,
        adminAddress: `http://10.0.${index >> 8}.${index & 255}:8081`
      }
    }
  })
}

/** Groups spread evenly over failure domains, each in a fabric domain of its own. */
export function groupPlaces (settings: TopologySettings): GroupPlace[] {
  return Array.from({ length: settings.groups }, (_, index) => {
    const failureDomain = index % settings.failureDomains
    return { group: `group-${index}`, failureDomain: failureDomainName(failureDomain), fabricDomain: `fabric-${index}`, region: regionName(settings, failureDomain) }
  })
}

/** The groups that each node watches: two watchers of its region for each group, by rendezvous order. */
export function watchedBy (settings: TopologySettings): ReadonlyMap<string, readonly GroupPlace[]> {
  const watched = new Map<string, GroupPlace[]>()
  const nodes = nodePlaces(settings)
  for (const group of groupPlaces(settings)) {
    const candidates = nodes.filter((node) => node.self.region === group.region).map((node) => node.self.node)
    for (const node of rendezvousOrder(group.group, candidates).slice(0, WATCHERS)) watched.set(node, [...watched.get(node) ?? [], group])
  }
  return watched
}

/** The evidence that a watcher publishes for a complete group. */
export function presenceOf (place: GroupPlace, running: number): GroupPresence {
  return {
    group: place.group,
    fabricDomain: place.fabricDomain,
    failureDomain: place.failureDomain,
    formation: 3,
    complete: true,
    leaving: false,
    ageMs: 250,
    load: { running, waiting: running % 5, capacity: 64, cacheUsed: (running % 100) / 100, ageMs: 500 }
  }
}

export function teamDocument (settings: TopologySettings, team: number, version: number): MeshDocument {
  const body: TeamObject = { writeToken: `token-${team}-${version}`, team: `team-${team}`, text: 'x'.repeat(settings.teamTextBytes), appliedBy: 'operator', appliedAtWallMs: SECONDS_2024 }
  return { key: `teams/team-${team}`, version, body, deleted: false }
}

/** The VMs of a group, in rank order. */
export function memberNames (settings: TopologySettings, place: GroupPlace): string[] {
  return Array.from({ length: settings.vmsPerGroup }, (_, rank) => `vm-${place.group}-${rank}`)
}

export function assignmentDocument (settings: TopologySettings, place: GroupPlace, version: number): MeshDocument {
  const body: AssignmentObject = {
    writeToken: `token-${place.group}`,
    fabricDomain: place.fabricDomain,
    failureDomain: place.failureDomain,
    region: place.region,
    fencing: 4,
    groups: [{
      group: place.group,
      formation: 3,
      state: GroupState.Serving,
      team: 'team-0',
      model: 'model',
      version: '2024-05',
      adapters: ['adapter-a'],
      members: memberNames(settings, place).map((vm, rank) => ({ vm, incarnation: 2, address: `http://10.1.2.${rank}:9000` })),
      standbys: [],
      cause: 'every member is present at this formation',
      sinceWallMs: SECONDS_2024
    }]
  }
  return { key: `assignments/${place.fabricDomain}`, version, body, deleted: false }
}

export function vmListDocument (settings: TopologySettings, failureDomain: string, version: number): MeshDocument {
  const places = groupPlaces(settings).filter((place) => place.failureDomain === failureDomain)
  const vms = places.flatMap((place) => memberNames(settings, place).map((vm, rank) => ({
    vm, incarnation: 2, role: VmRole.Engine, state: VmListState.Live, address: `http://10.1.2.${rank}:9000`, region: place.region, failureDomain, fabricDomain: place.fabricDomain
  })))
  const body: VmListDocument = { failureDomain, vms }
  return { key: vmListKey(failureDomain), version, body, deleted: false }
}

/** The first version of all documents of the fleet. */
export function initialDocuments (settings: TopologySettings): MeshDocument[] {
  let version = 0
  const teams = Array.from({ length: settings.teams }, (_, team) => teamDocument(settings, team, ++version))
  const assignments = groupPlaces(settings).map((place) => assignmentDocument(settings, place, ++version))
  const failureDomains = Array.from({ length: settings.failureDomains }, (_, index) => failureDomainName(index))
  const lists = failureDomains.map((failureDomain) => vmListDocument(settings, failureDomain, ++version))
  return [...teams, ...assignments, ...lists]
}

import { createHash } from 'node:crypto'
import { VmRole, createRandom } from 'dotterelspur'
import type { Random } from 'dotterelspur'
import type { VmPlace } from 'dotterelspur-testkit'

/** A team of the demo: its settings file, as an operator would write it, and its callers' token and models. */
export interface TeamPlan {
  readonly team: string
  /** The callers' bearer token. */
  readonly token: string
  readonly models: readonly string[]
  /** Number of groups that must serve before the cluster is ready. */
  readonly replicas: number
  readonly settings: string
}

export interface ServicePlan {
  readonly service: string
  readonly team: string
  readonly safePath: string
  readonly oncePath: string
}

export interface NodePlan {
  readonly id: string
  readonly failureDomain: string
  /** A loopback address of this node alone, by which its connections are recognized while it is isolated. */
  readonly host: string
  /** The relay's address at which its peers reach it. */
  readonly relayHost: string
}

/** Names, addresses, settings and tokens of a cluster that is not started yet. */
export interface ClusterLayout {
  readonly region: string
  readonly places: readonly VmPlace[]
  readonly nodes: readonly NodePlan[]
  readonly teams: readonly TeamPlan[]
  readonly services: readonly ServicePlan[]
  readonly adminToken: string
  readonly meshKey: string
}

export const REGION = 'perth'
const FAILURE_DOMAINS = ['perth-a', 'perth-b', 'perth-c'] as const
const FABRIC_DOMAINS_PER_FAILURE_DOMAIN = 2
const VMS_PER_FABRIC_DOMAIN = 3
const VMS_PER_REPLICA = 2
const NODES_PER_HOST_OCTET = 250

interface TeamDefinition {
  readonly team: string
  readonly model: string
  readonly version: string
  readonly service: string
  readonly groupDowntime: number
  readonly strandedAccelerators: number
}

const TEAMS: readonly TeamDefinition[] = [
  { team: 'tradeline', model: 'trip-summary', version: '1', service: 'trips', groupDowntime: 8, strandedAccelerators: 1 },
  { team: 'piedmont', model: 'loan-draft', version: '1', service: 'circulation', groupDowntime: 1, strandedAccelerators: 4 }
]
const REPLICAS_PER_TEAM = FAILURE_DOMAINS.length * FABRIC_DOMAINS_PER_FAILURE_DOMAIN / TEAMS.length

/** Creates the layout of the demo's cluster; the same seed gives the same names and tokens. */
export function createLayout (nodeCount: number, seed: number): ClusterLayout {
  const random = createRandom(seed)
  return {
    region: REGION,
    places: [...enginePlaces(), ...servicePlaces()],
    nodes: Array.from({ length: nodeCount }, (_, index) => nodePlan(index)),
    teams: TEAMS.map((definition) => teamPlan(definition, random)),
    services: TEAMS.map(({ team, service }) => ({ service, team, safePath: `/services/${service}/records/today`, oncePath: `/services/${service}/records` })),
    adminToken: createToken('operator', random),
    meshKey: createToken('mesh', random)
  }
}

function nodePlan (index: number): NodePlan {
  const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!
  const round = Math.floor(index / FAILURE_DOMAINS.length) + 1
  const last = index % NODES_PER_HOST_OCTET + 1
  const block = 2 * Math.floor(index / NODES_PER_HOST_OCTET)
  return { id: `node-${failureDomain.at(-1)}${round}`, failureDomain, host: `127.0.${block + 1}.${last}`, relayHost: `127.0.${block + 2}.${last}` }
}

function enginePlaces (): VmPlace[] {
  return FAILURE_DOMAINS.flatMap((failureDomain) =>
    count(FABRIC_DOMAINS_PER_FAILURE_DOMAIN).flatMap((fabric) =>
      count(VMS_PER_FABRIC_DOMAIN).map((vm) => ({
        vm: `${failureDomain}-${fabric}-vm${vm}`,
        role: VmRole.Engine,
        region: REGION,
        failureDomain,
        fabricDomain: `${failureDomain}-${fabric}`
      }))))
}

function servicePlaces (): VmPlace[] {
  return TEAMS.flatMap(({ service }) => FAILURE_DOMAINS.map((failureDomain) => ({
    vm: `${service}-${failureDomain.at(-1)}`, role: VmRole.Service, region: REGION, failureDomain, fabricDomain: '', service
  })))
}

function count (length: number): number[] {
  return Array.from({ length }, (_, index) => index + 1)
}

function teamPlan (definition: TeamDefinition, random: Random): TeamPlan {
  const token = createToken(definition.team, random)
  return { team: definition.team, token, models: [definition.model], replicas: REPLICAS_PER_TEAM, settings: teamSettings(definition, token) }
}

function teamSettings (definition: TeamDefinition, token: string): string {
  return `[team]
name = ${definition.team}
caller-token-sha256 = ${createHash('sha256').update(token).digest('hex')}

[weights]
group-downtime = ${definition.groupDowntime}
stranded-accelerators = ${definition.strandedAccelerators}

[model ${definition.model}]
version = ${definition.version}
replicas = ${REPLICAS_PER_TEAM}
vms-per-replica = ${VMS_PER_REPLICA}
standbys-per-fabric-domain = 1

[service ${definition.service}]
timeout-ms = 10000

[route ${definition.service} reads]
path-prefix = /
methods = GET
retry = idempotent

[route ${definition.service} writes]
path-prefix = /records
methods = POST
retry = once
`
}

const TOKEN_WORDS = 4
const TOKEN_WORD_RANGE = 0x7fff_ffff

function createToken (name: string, random: Random): string {
  const words = count(TOKEN_WORDS).map(() => random.integer(TOKEN_WORD_RANGE).toString(36).padStart(6, '0'))
  return `${name}-${words.join('')}`
}

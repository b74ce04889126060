import type { FastifyInstance, FastifyRequest } from 'fastify'
import { homeOf, orderEntries, type NodeMember } from 'dotterelspur'
import type { EntryServices } from '../process/EntryServices.js'

interface EntriesQuery {
  /** The caller's failure domain, if it knows it. */
  readonly failureDomain?: string
  /** Any text that is stable for a caller; used to spread callers over the nodes. */
  readonly caller?: string
}

/** A node address that a caller may use. */
export interface DirectoryEntry {
  readonly address: string
  readonly node: string
  readonly failureDomain: string
  readonly region: string
  /** The home to name in request ids that are sent to this address. */
  readonly home: string
}

/** Response body of GET /v1/entries. */
export interface DirectoryAnswer {
  readonly ttlMs: number
  /** The node's wall clock, for the issue time in request ids. */
  readonly wallMs: number
  /** In order of preference, the best first. */
  readonly entries: readonly DirectoryEntry[]
}

const SPREAD_RANGE = 1_000_000_007

/** GET /v1/entries: the node addresses that a caller should use. */
export function registerDirectoryRoutes (app: FastifyInstance, services: EntryServices): void {
  app.get<{ Querystring: EntriesQuery }>('/v1/entries', (request) => directory(services, request))
}

function directory (services: EntryServices, request: FastifyRequest<{ Querystring: EntriesQuery }>): DirectoryAnswer {
  const { context, gate } = services
  const { mesh, random, clock, timing } = context
  const { failureDomain = null, caller } = request.query
  const members = mesh.members()
  const region = members.find((member) => member.failureDomain === failureDomain)?.region ?? mesh.self.region
  const closed = gate.refusal() !== null
  const usable = closed ? members.filter((member) => member.node !== mesh.self.node) : members
  const spreadKey = caller ?? String(random.integer(SPREAD_RANGE))
  return {
    ttlMs: timing.directoryTtlMs,
    wallMs: clock.wallMs(),
    entries: orderEntries(usable, { failureDomain, region, spreadKey }).map(toEntry)
  }
}

function toEntry (member: NodeMember): DirectoryEntry {
  const { entryAddress: address, node, failureDomain, region } = member
  return { address, node, failureDomain, region, home: homeOf(member) }
}

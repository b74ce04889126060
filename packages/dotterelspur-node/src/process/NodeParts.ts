import { randomInt } from 'node:crypto'
import { createAnswerTotal, HttpEngineClient, HttpServiceClient } from 'dotterelspur-endpoint'
import { TeamTable, createEntry, type Entry } from 'dotterelspur-entry'
import { createFleet, type Fleet } from 'dotterelspur-fleet'
import { ListenerGuard } from 'dotterelspur-listener'
import { CredentialsKind, createMesh, createStoreFollower, type Mesh, type MeshCredentials, type StoreFollower } from 'dotterelspur-mesh'
import { AuditTrail, PlatformObjectStore, PlatformVmDirectory } from 'dotterelspur-platform'
import { FencingMode, MeshSecurityKind, fencingModeOf, formatSettingsError, parseTeamSettings, type NodeSettings } from 'dotterelspur-settings'
import { DEFAULT_LEASE_TIMING, NODE_PREFIX, callerLoadLimits, createRandom, failed, homeOf, responseLoadLimits, type Clock, type EngineApi, type NodeObject, type Random, type Result, type ServiceApi, type TeamId, type TeamSettings } from 'dotterelspur'
import type { LoadedSettings, MeshSecrets } from './loadNodeSettings.js'
import { NodeLogs } from './NodeLog.js'
import { NodeMetrics } from './NodeMetrics.js'
import { SystemClock } from 'dotterelspur-clock'

const MAX_SEED = 0x7fff_ffff
/** What a node takes without callers, the fleet's state included. */
const NODE_BYTES = 170_000_000
/** A lease renewal that takes longer than this is abandoned, because the next one is due by then. */
const LEASE_CALL_TIMEOUT_MS = 1_000

/** The ports of this node's listeners, resolved before any listener is opened. */
export interface NodePorts {
  readonly entry: number
  readonly mesh: number
  readonly admin: number
}

/** The long-lived parts of a node, created but not yet started. */
export interface NodeParts {
  readonly settings: NodeSettings
  readonly clock: Clock
  readonly logs: NodeLogs
  readonly metrics: NodeMetrics
  readonly store: PlatformObjectStore
  readonly leaseStore: PlatformObjectStore
  readonly vmDirectory: PlatformVmDirectory
  readonly mesh: Mesh
  readonly follower: StoreFollower
  readonly teams: TeamTable
  readonly audit: AuditTrail
  readonly fleet: Fleet
  readonly entry: Entry
  /** Stands before all listeners. */
  readonly guard: ListenerGuard
}

/** The parts created before the incarnation is chosen: choosing it reads the previous incarnation from the store. */
export interface NodeBase {
  readonly clock: Clock
  readonly random: Random
  readonly store: PlatformObjectStore
  readonly leaseStore: PlatformObjectStore
}

export function createNodeBase ({ settings, platformToken }: LoadedSettings): NodeBase {
  const clock = new SystemClock()
  const random = createRandom(randomInt(MAX_SEED))
  const { url, timeoutMs, watchTimeoutMs } = settings.platform
  const common = { url, clock, random, localAddress: settings.host, token: platformToken ?? undefined }
  return {
    clock,
    random,
    store: new PlatformObjectStore({ ...common, timeoutMs, watchSilenceMs: watchTimeoutMs }),
    leaseStore: new PlatformObjectStore({ ...common, timeoutMs: Math.min(timeoutMs, LEASE_CALL_TIMEOUT_MS), maximumAttempts: 1 })
  }
}

/** Creates and connects the parts of a node without starting any of them or opening a listener. */
export function createNodeParts (loaded: LoadedSettings, base: NodeBase, incarnation: number, ports: NodePorts): NodeParts {
  const { settings } = loaded
  const { clock, random, store, leaseStore } = base
  const logs = new NodeLogs(settings.id, settings.failureDomain)
  const metrics = new NodeMetrics()
  const { memoryBytes, descriptors } = settings.limits
  const guard = new ListenerGuard(callerLoadLimits({ memoryBytes, descriptors }, NODE_BYTES), clock, ({ connections, heldBytes, shedTotal }) => {
    logs.node(`closed connections because of what callers make this process hold: ${shedTotal} since the start; ${connections} are open, ${heldBytes} bytes are held`)
  })
  const mesh = createNodeMesh(loaded, base, incarnation, ports, guard)
  const teams = new TeamTable(mesh, ({ text, team }) => parseTeam(text, team))
  const audit = new AuditTrail({ store, clock, home: homeOf({ node: settings.id, incarnation }) })
  const total = createAnswerTotal(responseLoadLimits({ memoryBytes }, NODE_BYTES), () => guard.load.heldBytes)
  const engines = new HttpEngineClient({ clock, total })
  const services = new HttpServiceClient({ clock, total })
  const vmDirectory = new PlatformVmDirectory(store)
  const follower = createStoreFollower({ mesh, store, clock, random, registerContactListener: (listener) => store.registerContactListener(listener) })
  const entry = createNodeEntry(settings, base, { mesh, engines, services, teams, port: ports.entry, metrics, guard })
  const fleet = createFleet({
    clock,
    random,
    mesh,
    store,
    leaseStore,
    vmDirectory,
    engines,
    services,
    settings: () => teams.all(),
    audit: (record) => { audit.append(record) },
    checksFencing: ({ failureDomain }) => fencingModeOf(settings.fencing, failureDomain) === FencingMode.Checked,
    failureDomains: [settings.failureDomain],
    timing: fleetTiming(settings)
  })
  const parts: NodeParts = { settings, clock, logs, metrics, store, leaseStore, vmDirectory, mesh, follower, teams, audit, fleet, entry, guard }
  metrics.registerParts(parts)
  return parts
}

function createNodeMesh ({ settings, meshSecrets }: LoadedSettings, { clock, random }: NodeBase, incarnation: number, ports: NodePorts, guard: ListenerGuard): Mesh {
  const mesh: Mesh = createMesh({
    self: {
      node: settings.id,
      incarnation,
      region: settings.region,
      failureDomain: settings.failureDomain,
      entryAddress: `http://${hostInUrl(settings.host)}:${ports.entry}`,
      adminAddress: `http://${hostInUrl(settings.host)}:${ports.admin}`
    },
    listenHost: settings.host,
    listenPort: ports.mesh,
    advertiseAddress: settings.mesh.advertise ?? undefined,
    localAddress: settings.host,
    credentials: meshCredentials(meshSecrets),
    guard,
    clock,
    random,
    seeds: () => [...settings.mesh.seeds, ...knownNodeAddresses(mesh)],
    timing: { heartbeatIntervalMs: settings.timing.gossipIntervalMs }
  })
  return mesh
}

/** Mesh addresses from the `nodes/` objects, by which a node that has just started finds its first peer. */
function knownNodeAddresses (mesh: Mesh): string[] {
  return mesh.documents(NODE_PREFIX)
    .filter((document) => !document.deleted)
    .map((document) => document.body as NodeObject)
    .filter((node) => node.node !== mesh.self.node && !node.draining)
    .map((node) => node.meshAddress)
}

interface EntryParts {
  readonly mesh: Mesh
  readonly engines: EngineApi
  readonly services: ServiceApi
  readonly teams: TeamTable
  readonly port: number
  readonly metrics: NodeMetrics
  readonly guard: ListenerGuard
}

function createNodeEntry (settings: NodeSettings, { clock, random, store }: NodeBase, { mesh, engines, services, teams, port, metrics, guard }: EntryParts): Entry {
  const { entry, timing, limits } = settings
  return createEntry({
    host: settings.host,
    port,
    clock,
    random,
    mesh,
    store,
    engines,
    services,
    teams,
    guard,
    observer: metrics.entryObserver,
    limits: {
      maxBodyBytes: entry.maxBodyBytes,
      maxHeaderBytes: entry.maxHeaderBytes,
      maxConnections: entry.maxConnections,
      maxRequests: limits.concurrentRequests + limits.queuedRequests,
      slowCallerMs: entry.slowClientTimeoutMs,
      receiveTimeoutMs: entry.requestTimeoutMs,
      maxRememberedOutcomes: limits.outcomeMemoryEntries
    },
    timing: {
      evidenceTtlMs: timing.evidenceTtlMs,
      inForceBoundMs: timing.inForceBoundMs,
      pauseThresholdMs: timing.pauseThresholdMs,
      outcomeMemoryMs: timing.outcomeMemoryMs,
      directoryTtlMs: timing.directoryTtlMs
    }
  })
}

function fleetTiming ({ timing, platform }: NodeSettings): Parameters<typeof createFleet>[0]['timing'] {
  return {
    lease: { ...DEFAULT_LEASE_TIMING, ttlMs: timing.leaseTtlMs, renewMs: timing.leaseRenewMs, marginMs: timing.leaseMarginMs },
    probeIntervalMs: timing.probeIntervalMs,
    probeTimeoutMs: timing.probeTimeoutMs,
    evidenceTtlMs: timing.evidenceTtlMs,
    vmListIntervalMs: platform.vmListIntervalMs,
    orderTimeoutMs: timing.orderTimeoutMs,
    pauseThresholdMs: timing.pauseThresholdMs
  }
}

/** Parses a team's settings text and checks that it belongs to the team under whose key it is stored. */
function parseTeam (text: string, team: TeamId): Result<TeamSettings, string> {
  const parsed = parseTeamSettings(text, team)
  if (!parsed.ok) return failed(formatSettingsError(parsed.error))
  if (parsed.value.team !== team) return failed(`the text is for team ${parsed.value.team}`)
  return parsed
}

function meshCredentials (secrets: MeshSecrets): MeshCredentials {
  if (secrets.kind === MeshSecurityKind.SharedKey) return { kind: CredentialsKind.SharedKey, key: secrets.key }
  return { kind: CredentialsKind.MutualTls, certificate: secrets.certificate, privateKey: secrets.key, authority: secrets.authority }
}

function hostInUrl (host: string): string {
  return host.includes(':') ? `[${host}]` : host
}

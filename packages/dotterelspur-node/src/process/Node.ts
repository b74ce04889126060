import { getHeapStatistics } from 'node:v8'
import { NodeState, failed, runProcedure, sleep, success, type EffectHandlers, type Result } from 'dotterelspur'
import { hashToken } from 'dotterelspur-settings'
import { startAdminServer, type AdminServer } from './admin/index.js'
import { DrainEffectKind, drainNode, type DrainEffect } from './DrainProcedure.js'
import { resolvePort } from './freePort.js'
import { GracePeriod } from './GracePeriod.js'
import { heapWarning } from './heapFlags.js'
import { chooseIncarnation } from './Incarnation.js'
import type { LoadedSettings } from './loadNodeSettings.js'
import { NodeErrorKind, type NodeError } from './NodeError.js'
import { NodeExplain } from './NodeExplain.js'
import { createNodeBase, createNodeParts, type NodeParts, type NodePorts } from './NodeParts.js'

/** Limit on writing the drain to the store. The drain continues without that write: the mesh announces it to peers. */
const REGISTER_DRAINING_TIMEOUT_MS = 2_000
/** Two probe intervals and two gossip intervals: by then other nodes publish evidence of the endpoints that this node probed. */
const SUCCESSOR_WAIT_MS = 2_000

/** A started node. */
export interface RunningNode {
  /** Base URLs of the listeners, with the ports that are actually bound. */
  readonly entryAddress: string
  readonly adminAddress: string
  /** Resolves when an operator requests a drain of this node through an admin listener. */
  readonly drainRequested: Promise<void>
  /** Stops the node gracefully; resolves when the process may exit. */
  drain (): Promise<void>
  /** A supervisor asked the process to stop `elapsedMs` ago, and kills it once its grace period ends. */
  beginGracePeriod (elapsedMs: number): void
}

/** Starts a node with all its roles. Its callers' listener accepts requests once this resolves. */
export async function startNode (loaded: LoadedSettings): Promise<Result<RunningNode, NodeError>> {
  const base = createNodeBase(loaded)
  const ports = await resolvePorts(loaded)
  const incarnation = await chooseIncarnation(loaded.settings.id, base.store, base.clock)
  const parts = createNodeParts(loaded, base, incarnation, ports)
  const listening = await parts.mesh.start()
  if (!listening.ok) return failed({ kind: NodeErrorKind.ListenFailed, address: `${loaded.settings.host}:${ports.mesh}`, reason: listening.error.reason })
  const requested = createDrainRequest()
  const admin = await tryListen(`${loaded.settings.host}:${ports.admin}`, () => startAdmin(loaded, parts, ports, requested.request))
  if (!admin.ok) return admin
  startRoles(parts)
  const entryAddress = await tryListen(`${loaded.settings.host}:${ports.entry}`, () => parts.entry.listen())
  if (!entryAddress.ok) return entryAddress
  const warning = heapWarning(getHeapStatistics().heap_size_limit, loaded.settings.limits.memoryBytes)
  if (warning !== null) parts.logs.node(warning)
  parts.logs.node(`started, incarnation ${incarnation}, entry ${entryAddress.value}, mesh ${parts.mesh.self.meshAddress}, admin ${admin.value.address}`)
  const grace = new GracePeriod(parts.clock, loaded.settings.limits.stopGraceMs, () => { endRequests(parts) })
  return success({
    entryAddress: entryAddress.value,
    adminAddress: admin.value.address,
    drainRequested: requested.promise,
    drain: () => drain(parts, admin.value, grace),
    beginGracePeriod: (elapsedMs) => { grace.begin(elapsedMs) }
  })
}

async function resolvePorts ({ settings }: LoadedSettings): Promise<NodePorts> {
  const { host } = settings
  return {
    entry: await resolvePort(host, settings.entry.port),
    mesh: await resolvePort(host, settings.mesh.port),
    admin: await resolvePort(host, settings.admin.port)
  }
}

/** Registers the settings listener and starts the store follower before the fleet, which reads team settings from its first step. */
function startRoles ({ follower, teams, fleet }: NodeParts): void {
  teams.registerListener(() => { fleet.triggerControllers() })
  follower.start()
  fleet.start()
}

async function tryListen<Value> (address: string, listen: () => Promise<Value>): Promise<Result<Value, NodeError>> {
  try {
    return success(await listen())
  } catch (error) {
    return failed({ kind: NodeErrorKind.ListenFailed, address, reason: (error as Error).message })
  }
}

interface DrainRequest {
  readonly promise: Promise<void>
  request (reason: string): void
}

function createDrainRequest (): DrainRequest {
  let resolveRequest: () => void = () => {}
  const promise = new Promise<void>((resolve) => { resolveRequest = resolve })
  return { promise, request: () => { resolveRequest() } }
}

function startAdmin (loaded: LoadedSettings, parts: NodeParts, ports: NodePorts, drainSelf: (reason: string) => void): Promise<AdminServer> {
  const { settings, adminToken } = loaded
  const explain = new NodeExplain(parts)
  explain.registerCallHandler()
  return startAdminServer({
    clock: parts.clock,
    store: parts.store,
    mesh: parts.mesh,
    vms: parts.vmDirectory,
    explain,
    metrics: parts.metrics.registry,
    audit: (record) => { parts.audit.append(record) },
    readiness: () => {
      const ready = parts.mesh.self.state === NodeState.Alive
      return { ready, reason: ready ? 'serving' : `this node is ${parts.mesh.self.state}` }
    },
    drainSelf
  }, {
    host: settings.host,
    port: ports.admin,
    tokenHash: hashToken(adminToken),
    metricsAccess: settings.admin.metrics,
    maxConnections: settings.admin.maxConnections,
    guard: parts.guard,
    evidenceTtlMs: settings.timing.evidenceTtlMs
  })
}

/** The supervisor is about to kill this process: callers get an error that says what is known, instead of a reset connection. */
function endRequests ({ entry, logs }: NodeParts): void {
  logs.node(`the grace period ends, ${entry.runningCount()} requests are ended`)
  entry.endRequests()
}

async function drain (parts: NodeParts, admin: AdminServer, grace: GracePeriod): Promise<void> {
  const { entry, mesh, follower, fleet, audit, store, leaseStore, clock, logs, settings, guard } = parts
  logs.node('draining')
  const handlers: EffectHandlers<DrainEffect> = {
    [DrainEffectKind.AnnounceDraining]: () => { mesh.announceDraining() },
    [DrainEffectKind.RefuseNewWork]: () => { entry.beginDrain() },
    [DrainEffectKind.RegisterDraining]: async () => { await follower.registerDraining(REGISTER_DRAINING_TIMEOUT_MS) },
    [DrainEffectKind.HandOverLeases]: () => fleet.handOver(),
    [DrainEffectKind.WaitForRequests]: ({ timeoutMs }) => idleWithin(parts, timeoutMs),
    [DrainEffectKind.ReportWaiting]: () => { logs.node(`draining, ${entry.runningCount()} requests still running`) },
    [DrainEffectKind.WaitForSuccessors]: () => sleep(clock, grace.limitSuccessorWait(SUCCESSOR_WAIT_MS)),
    [DrainEffectKind.Close]: async () => {
      await entry.close()
      fleet.stop()
      follower.stop()
      await audit.flush()
      await mesh.stop()
      await admin.close()
      guard.close()
      await Promise.all([store.close(), leaseStore.close()])
    }
  }
  await runProcedure(drainNode(settings.limits.drainTimeoutMs), handlers)
  grace.close()
  logs.node('stopped')
}

/** Whether no request runs any more within the time. The timer is cancelled, since it would keep the process running after its drain. */
async function idleWithin ({ entry, clock }: NodeParts, timeoutMs: number): Promise<boolean> {
  return await new Promise((resolve, reject) => {
    const cancelTimer = clock.registerTimer(timeoutMs, () => { resolve(false) })
    entry.idle().then(() => {
      cancelTimer()
      resolve(true)
    }, reject)
  })
}

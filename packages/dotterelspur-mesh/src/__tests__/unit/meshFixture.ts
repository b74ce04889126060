import { type CallEvent, CallEventKind, type Clock, createRandom, type GroupPresence, type MeshDocument, type NodeMember } from 'dotterelspur'
import { createMesh, CredentialsKind, type Mesh, type MeshOptions } from '../../index.js'

/** The system clock, for tests with real connections. */
export const realClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  registerTimer: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs)
    return () => clearTimeout(timer)
  }
}

/** Timing short enough for tests; no test asserts these values. */
export const FAST_TIMING = {
  heartbeatIntervalMs: 50, silenceMs: 500, relaySilenceMs: 300, indirectProbeMs: 200, connectGraceMs: 1_000, suspicionMs: 600, linkTimeoutMs: 1_500, dialDeferMs: 100, rejoinIntervalMs: 200, mismatchGraceMs: 100, syncIntervalMs: 50
}

/** Options of one node on loopback; the nodes of a fleet share `seeds`, by which they find each other. */
export function createOptions (index: number, seeds: string[], change: Partial<MeshOptions> = {}): MeshOptions {
  return {
    self: { node: `node-${index}`, incarnation: 1, region: 'perth', failureDomain: `fd-${index % 3}`, entryAddress: `http://127.0.0.1:${9000 + index}`, adminAddress: `http://127.0.0.1:${9500 + index}` },
    listenHost: '127.0.0.1',
    listenPort: 0,
    credentials: { kind: CredentialsKind.SharedKey, key: 'test key' },
    clock: realClock,
    random: createRandom(index + 1),
    seeds: () => seeds,
    timing: FAST_TIMING,
    ...change
  }
}

export interface Fleet {
  readonly meshes: Mesh[]
  readonly seeds: string[]
  add (change?: Partial<MeshOptions>): Promise<Mesh>
  stop (): Promise<void>
}

/** Starts a fleet of nodes with real connections on loopback. */
export async function createFleet (size: number, change: Partial<MeshOptions> = {}): Promise<Fleet> {
  const meshes: Mesh[] = []
  const seeds: string[] = []
  const fleet: Fleet = {
    meshes,
    seeds,
    add: async (own = {}) => {
      const mesh = createMesh(createOptions(meshes.length, seeds, { ...change, ...own }))
      meshes.push(mesh)
      const started = await mesh.start()
      if (!started.ok) throw new Error(started.error.reason)
      seeds.push(started.value.meshAddress)
      return mesh
    },
    stop: async () => { await Promise.all(meshes.map((mesh) => mesh.stop())) }
  }
  for (let index = 0; index < size; index += 1) await fleet.add()
  return fleet
}

/** Polls until the condition is true; only the test's timeout limits the wait. An abandoned wait does not keep the process running. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 10).unref() })
}

export function stateOf (mesh: Mesh, node: string): string | undefined {
  return mesh.members().find((member: NodeMember) => member.node === node)?.state
}

export async function collect (events: AsyncIterable<CallEvent>): Promise<{ messages: unknown[], last: CallEvent | undefined }> {
  const messages: unknown[] = []
  let last: CallEvent | undefined
  for await (const event of events) {
    last = event
    if (event.kind === CallEventKind.Message) messages.push(event.message)
  }
  return { messages, last }
}

export function createDocument (key: string, version: number, body: unknown = { text: `${key}@${version}` }): MeshDocument {
  return { key, version, body, deleted: false }
}

export function createGroupPresence (group: string, change: Partial<GroupPresence> = {}): GroupPresence {
  return { group, fabricDomain: 'fabric-1', failureDomain: 'fd-0', formation: 1, complete: true, leaving: false, ageMs: 0, load: { running: 1, waiting: 0, capacity: 8, cacheUsed: 0.5, ageMs: 10 }, ...change }
}

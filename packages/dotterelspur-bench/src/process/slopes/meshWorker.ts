/** A process that holds the real meshes of some nodes of a measured fleet. The bench forks it. */
import { createRandom } from 'dotterelspur'
import { CredentialsKind, createMesh } from 'dotterelspur-mesh'
import type { Mesh } from 'dotterelspur-mesh'
import { SystemClock } from 'dotterelspur-clock'
import { FromWorkerKind, ToWorkerKind } from './MeshWorkerMessages.js'
import type { FromWorker, MeshSample, ToWorker } from './MeshWorkerMessages.js'
import { initialDocuments, nodePlaces, presenceOf, teamDocument, watchedBy } from './Topology.js'
import type { GroupPlace, TopologySettings } from './Topology.js'

const PUBLISH_INTERVAL_MS = 500
const SEEDS_PER_NODE = 4
const LOAD_RANGE = 64
const SECOND_MS = 1_000

interface HeldMesh {
  readonly mesh: Mesh
  readonly index: number
  readonly watched: readonly GroupPlace[]
  seeds: readonly string[]
}

const clock = new SystemClock()
const random = createRandom(process.pid)
const held: HeldMesh[] = []
let settings: TopologySettings

type Handlers = { readonly [Kind in ToWorkerKind]: (message: Extract<ToWorker, { kind: Kind }>) => Promise<FromWorker> }

const DONE: FromWorker = { kind: FromWorkerKind.Done }

const HANDLERS: Handlers = {
  [ToWorkerKind.Start]: async (message) => {
    settings = message.settings
    const watched = watchedBy(settings)
    const places = nodePlaces(settings)
    const addresses: string[] = []
    for (const index of message.nodes) addresses.push(await startMesh(index, places[index]!.self, watched.get(`node-${index}`) ?? []))
    return { kind: FromWorkerKind.Started, addresses }
  },
  [ToWorkerKind.Seeds]: async ({ seeds }) => {
    for (const holder of held) holder.seeds = Array.from({ length: SEEDS_PER_NODE }, () => seeds[random.integer(seeds.length)]!)
    return DONE
  },
  [ToWorkerKind.Offer]: async () => {
    for (const document of initialDocuments(settings)) held[0]!.mesh.offerDocument(document)
    startChanges()
    return DONE
  },
  [ToWorkerKind.Peek]: async () => ({ kind: FromWorkerKind.Sampled, sample: sample() }),
  [ToWorkerKind.Sample]: async () => {
    globalThis.gc?.()
    return { kind: FromWorkerKind.Sampled, sample: sample() }
  },
  [ToWorkerKind.Stop]: async () => {
    setImmediate(() => { process.exit(0) })
    return DONE
  }
}

async function startMesh (index: number, self: ReturnType<typeof nodePlaces>[number]['self'], watched: readonly GroupPlace[]): Promise<string> {
  const holder: HeldMesh = {
    index,
    watched,
    seeds: [],
    mesh: createMesh({
      self,
      listenHost: '127.0.0.1',
      listenPort: 0,
      credentials: { kind: CredentialsKind.SharedKey, key: 'bench' },
      clock,
      random: createRandom(settings.seed * 1_000 + index),
      seeds: () => holder.seeds
    })
  }
  held.push(holder)
  const started = await holder.mesh.start()
  if (!started.ok) throw new Error(`mesh ${index}: ${started.error.reason}`)
  setInterval(() => { publish(holder) }, PUBLISH_INTERVAL_MS)
  return started.value.meshAddress
}

function publish (holder: HeldMesh): void {
  holder.mesh.noteStoreContact()
  holder.mesh.publishPresence(holder.watched.map((place) => presenceOf(place, random.integer(LOAD_RANGE))), [])
}

/** Offers changes of team settings, as the store's watchers would. */
function startChanges (): void {
  if (settings.changesPerSecond === 0 || settings.teams === 0) return
  let version = 1_000_000
  setInterval(() => {
    held[0]!.mesh.offerDocument(teamDocument(settings, version % settings.teams, ++version))
  }, SECOND_MS / settings.changesPerSecond)
}

function sample (): MeshSample {
  const cpu = process.cpuUsage()
  const counters = held.map((holder) => holder.mesh.counters())
  const sizes = held.map((holder) => holder.mesh.sizes())
  const sentBytesByKind: Record<string, number> = {}
  for (const { sent } of counters) {
    for (const [kind, count] of Object.entries(sent)) sentBytesByKind[kind] = (sentBytesByKind[kind] ?? 0) + count.bytes
  }
  const total = (pick: (index: number) => number): number => held.reduce((sum, _holder, index) => sum + pick(index), 0)
  const bytes = (counts: Readonly<Record<string, { readonly bytes: number }>>): number => Object.values(counts).reduce((sum, count) => sum + count.bytes, 0)
  return {
    meshes: held.length,
    atMs: clock.nowMs(),
    cpuMs: (cpu.user + cpu.system) / 1_000,
    heapBytes: process.memoryUsage().heapUsed,
    sentBytes: total((index) => bytes(counters[index]!.sent)),
    receivedBytes: total((index) => bytes(counters[index]!.received)),
    sentFrames: total((index) => Object.values(counters[index]!.sent).reduce((sum, count) => sum + count.frames, 0)),
    sentBytesByKind,
    links: total((index) => sizes[index]!.gossipLinks),
    fewestMembers: Math.min(...sizes.map((size) => size.members)),
    fewestDocuments: Math.min(...sizes.map((size) => size.documents)),
    evidenceLines: total((index) => sizes[index]!.evidenceLines)
  }
}

process.on('message', (message: ToWorker) => {
  const handler = HANDLERS[message.kind] as (message: ToWorker) => Promise<FromWorker>
  handler(message).then((reply) => { process.send!(reply) }, (error) => {
    console.error(error)
    process.exit(1)
  })
})

// Ends with its parent, so that an interrupted bench leaves no processes running.
process.once('disconnect', () => { process.exit(0) })

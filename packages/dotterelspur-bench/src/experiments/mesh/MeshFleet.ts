import { createRandom, type Clock, type GroupPresence, type MeshLimits, type Random } from 'dotterelspur'
import { createMesh, CredentialsKind, type Mesh } from 'dotterelspur-mesh'
import { groupPlaces, nodePlaces, presenceOf, watchedBy, type GroupPlace, type TopologySettings } from '../../process/slopes/Topology.js'

/** How the nodes of a fleet are linked. */
export enum Linking {
  /** The system's own way: cells, relays, few links between regions. */
  Overlay = 'overlay',
  /** Every node to every other. */
  FullMesh = 'full mesh'
}

/** Links that the start left over are closed this soon, so that the settled state is measured. */
const UNWANTED_LINK_MS = 2_000
const PUBLISH_INTERVAL_MS = 500
const LOAD_RANGE = 64
const NO_BOUND = 100_000

export interface FleetNode {
  readonly mesh: Mesh
  readonly watched: readonly GroupPlace[]
}

/** Real meshes in this process, with connections on loopback, whose watchers publish as in a running fleet. */
export class MeshFleet {
  private readonly publishing: NodeJS.Timeout[] = []

  private constructor (readonly settings: TopologySettings, readonly nodes: readonly FleetNode[]) {}

  static async start (settings: TopologySettings, linking: Linking, clock: Clock): Promise<MeshFleet> {
    const addresses: string[] = []
    const watched = watchedBy(settings)
    const limits: Partial<MeshLimits> = linking === Linking.FullMesh ? { cellSize: NO_BOUND, links: NO_BOUND } : {}
    const nodes = nodePlaces(settings).map(({ index, self }) => ({
      watched: watched.get(self.node) ?? [],
      mesh: createMesh({
        self: linking === Linking.FullMesh ? { ...self, region: 'one', failureDomain: 'one' } : self,
        listenHost: '127.0.0.1',
        listenPort: 0,
        credentials: { kind: CredentialsKind.SharedKey, key: 'bench' },
        clock,
        random: createRandom(settings.seed * 1_000 + index),
        seeds: () => addresses.slice(0, 4),
        limits,
        timing: { unwantedLinkMs: UNWANTED_LINK_MS }
      })
    }))
    for (const { mesh } of nodes) {
      const started = await mesh.start()
      if (!started.ok) throw new Error(started.error.reason)
      addresses.push(started.value.meshAddress)
    }
    const fleet = new MeshFleet(settings, nodes)
    fleet.publish(createRandom(settings.seed))
    return fleet
  }

  get groups (): number {
    return groupPlaces(this.settings).length
  }

  /** Whether every node knows all the others. */
  get whole (): boolean {
    return this.nodes.every(({ mesh }) => mesh.members().length === this.nodes.length)
  }

  async stop (): Promise<void> {
    for (const timer of this.publishing) clearInterval(timer)
    await Promise.all(this.nodes.map(({ mesh }) => mesh.stop()))
  }

  private publish (random: Random): void {
    for (const node of this.nodes) {
      const send = (): void => {
        const presence: GroupPresence[] = node.watched.map((place) => ({ ...presenceOf(place, random.integer(LOAD_RANGE)), ageMs: 0 }))
        node.mesh.noteStoreContact()
        node.mesh.publishPresence(presence, [])
      }
      setTimeout(() => { this.publishing.push(setInterval(send, PUBLISH_INTERVAL_MS)) }, random.integer(PUBLISH_INTERVAL_MS))
    }
  }
}

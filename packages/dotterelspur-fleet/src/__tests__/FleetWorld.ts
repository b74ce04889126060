import {
  ASSIGNMENT_PREFIX, createRandom, EndpointErrorKind, failed, LEASE_PREFIX, ManualClock, NodeState, PriorityClass, type AssignedGroup, type AssignmentObject, type AuditRecord, type EngineApi,
  type FailureDomainId, type LeaseObject, type ModelIntent, type NodeId, type ServiceApi, type TeamSettings, type VmId
} from 'dotterelspur'
import { ObjectTable } from 'dotterelspur-testkit'
import { createFleet, type Fleet, type FleetTiming } from '../index.js'
import { createFaultyStore, createStoreFaults, type StoreCalls, type StoreFaults } from './FaultyStore.js'
import { MemoryEngines } from './MemoryEngines.js'
import { MeshHub, type MemoryMesh } from './MemoryMesh.js'
import { PausableClock } from './PausableClock.js'

export interface WorldNode {
  readonly node: NodeId
  readonly fleet: Fleet
  readonly mesh: MemoryMesh
  readonly clock: PausableClock
  readonly calls: StoreCalls
  readonly audit: AuditRecord[]
  alive: boolean
  /** Whether the node is cut off from the store and from its peers. */
  isolated: boolean
}

export interface WorldOptions {
  readonly seed?: number
  /** The failure domain of each node, in order. */
  readonly nodes?: readonly FailureDomainId[]
  /** Number of VMs in each fabric domain; fabric domain `fd-1.a` is in failure domain `fd-1`. */
  readonly vmsPerFabricDomain?: Readonly<Record<string, number>>
  readonly intent?: Partial<ModelIntent>
  readonly timing?: Partial<FleetTiming>
  readonly checksFencing?: boolean
}

const STEP_MS = 20

export function makeTeam (intent: Partial<ModelIntent> = {}): TeamSettings {
  const model: ModelIntent = {
    model: 'summary',
    version: '1',
    adapters: [],
    replicas: 1,
    vmsPerReplica: 2,
    standbysPerFabricDomain: 0,
    regions: [],
    failureDomains: [],
    fabricDomains: [],
    defaultPriority: PriorityClass.Standard,
    maxTokens: 1_000,
    rollout: { maxUnavailable: 1, healthyForMs: 1_000, maxErrorPercent: 10 },
    ...intent
  }
  return {
    team: 'tradeline',
    priority: 50,
    weights: { groupDowntime: 3, strandedAccelerators: 1 },
    limits: { requestsPerSecond: 100, tokensPerSecond: 10_000, concurrentRequests: 100, queuedRequests: 100, retryPercent: 10 },
    callerTokenHashes: [],
    models: [model],
    services: []
  }
}

/** Several nodes' fleets over one platform, one set of engines and one manual clock. */
export class FleetWorld {
  readonly clock = new ManualClock()
  readonly table = new ObjectTable()
  readonly hub = new MeshHub()
  readonly engines = new MemoryEngines(this.clock)
  readonly storeFaults: StoreFaults = createStoreFaults()
  readonly nodes: WorldNode[] = []
  teams: readonly TeamSettings[]
  private readonly random
  private lastIncarnation = 0

  constructor (private readonly options: WorldOptions = {}) {
    this.random = createRandom(options.seed ?? 1)
    this.teams = [makeTeam(options.intent)]
    for (const [fabricDomain, count] of Object.entries(options.vmsPerFabricDomain ?? { 'fd-1.a': 3 })) {
      for (let index = 1; index <= count; index++) {
        this.engines.add(`${fabricDomain}-${index}`, fabricDomain, fabricDomain.split('.')[0]!, { checksFencing: options.checksFencing ?? true })
      }
    }
    for (const failureDomain of options.nodes ?? ['fd-1']) this.startNode(`n${this.nodes.length + 1}`, failureDomain)
  }

  startNode (node: NodeId, failureDomain: FailureDomainId): WorldNode {
    const clock = new PausableClock(this.clock)
    const incarnation = ++this.lastIncarnation
    const member = {
      node, incarnation, region: 'r1', failureDomain, meshAddress: node, entryAddress: `http://${node}`, adminAddress: `http://${node}`, state: NodeState.Alive
    }
    const mesh = this.hub.join(member, clock)
    const calls: StoreCalls = { reads: 0, writes: 0 }
    const audit: AuditRecord[] = []
    const random = createRandom(this.random.integer(1_000_000))
    const started: { current?: WorldNode } = {}
    const store = createFaultyStore(this.table, `${node}.${incarnation}`, clock, random, this.storeFaults, () => started.current?.isolated === true, calls)
    const fleet = createFleet({
      clock,
      random,
      mesh,
      store,
      vmDirectory: this.engines.directory(),
      engines: this.engineApi(clock),
      services: { probe: async () => failed({ kind: EndpointErrorKind.NotRun, reason: 'none' }) } as unknown as ServiceApi,
      settings: () => this.teams,
      audit: (record) => { audit.push(record) },
      checksFencing: ({ vm }) => this.engines.vms.get(vm)?.checksFencing ?? true,
      timing: this.options.timing ?? {}
    })
    const worldNode: WorldNode = { node, fleet, mesh, clock, calls, audit, alive: true, isolated: false }
    started.current = worldNode
    this.nodes.push(worldNode)
    fleet.start()
    return worldNode
  }

  /** Terminates a node's process at once. The other nodes detect it through the mesh. */
  killNode (node: WorldNode): void {
    node.alive = false
    node.clock.pause()
    node.fleet.stop()
    this.hub.removeNode(node.node)
  }

  pauseNode (node: WorldNode): void {
    node.clock.pause()
    node.mesh.isReceiving = false
  }

  resumeNode (node: WorldNode): void {
    node.mesh.isReceiving = true
    node.clock.resume()
    this.hub.heal()
  }

  isolateNode (node: WorldNode): void {
    node.isolated = true
    this.hub.cutNodes.add(node.node)
  }

  healNode (node: WorldNode): void {
    node.isolated = false
    this.hub.heal()
  }

  /** Advances the clock in steps, processing the responses that arrive in each. `check` runs after each step. */
  async run (durationMs: number, check: () => void = () => {}): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS)
      await new Promise<void>((resolve) => { setImmediate(resolve) })
      check()
    }
  }

  /** Runs until the condition holds and returns how long that took. Throws after `limitMs`. */
  async runUntil (what: string, condition: () => boolean, limitMs: number): Promise<number> {
    const startMs = this.clock.nowMs()
    while (!condition()) {
      if (this.clock.nowMs() - startMs >= limitMs) throw new Error(`condition not met within ${limitMs} ms: ${what}`)
      await this.run(STEP_MS)
    }
    return this.clock.nowMs() - startMs
  }

  async stop (): Promise<void> {
    for (const node of this.nodes) {
      if (node.alive) node.fleet.stop()
    }
    await this.run(STEP_MS)
  }

  holders (failureDomain: FailureDomainId): readonly WorldNode[] {
    return this.nodes.filter((node) => node.alive && node.fleet.leases().some((term) => term.failureDomain === failureDomain))
  }

  holder (failureDomain: FailureDomainId): WorldNode {
    const [holder] = this.holders(failureDomain)
    if (holder === undefined) throw new Error(`no node holds the lease of ${failureDomain}`)
    return holder
  }

  lease (failureDomain: FailureDomainId): LeaseObject | undefined {
    return this.table.get(`${LEASE_PREFIX}${failureDomain}`)?.body as LeaseObject | undefined
  }

  assignment (fabricDomain: string): AssignmentObject | undefined {
    return this.table.get(`${ASSIGNMENT_PREFIX}${fabricDomain}`)?.body as AssignmentObject | undefined
  }

  group (fabricDomain = 'fd-1.a'): AssignedGroup | undefined {
    return this.assignment(fabricDomain)?.groups[0]
  }

  /** Whether the evidence of at least one running node allows dispatch to the group as assigned. */
  isServing (group: AssignedGroup | undefined): boolean {
    if (group === undefined) return false
    return this.nodes.filter((node) => node.alive && !node.clock.paused).some((node) => node.mesh.groupPresence()
      .some((presence) => presence.group === group.group && presence.formation === group.formation && presence.complete && presence.ageMs < 2_500))
  }

  /** Whether each member's engine is in fact at the group's formation, under the assigned incarnation. */
  isActuallyComplete (group: AssignedGroup): boolean {
    return group.members.every(({ vm, incarnation }) => {
      const engine = this.engines.get(vm)
      return engine.alive && engine.incarnation === incarnation && engine.group === group.group && engine.formation === group.formation
    })
  }

  kill (vm: VmId): void {
    this.engines.kill(vm)
  }

  private engineApi (clock: PausableClock): EngineApi {
    const inner = this.engines.api(clock)
    return {
      ...inner,
      probe: async (address, timeoutMs) => await clock.whenRunning(inner.probe(address, timeoutMs)),
      order: async (address, order, fencing, timeoutMs) => await clock.whenRunning(inner.order(address, order, fencing, timeoutMs))
    }
  }
}

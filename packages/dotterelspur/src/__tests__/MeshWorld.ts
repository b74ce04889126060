import {
  createRandom, DEFAULT_MESH_LIMITS, DEFAULT_MESH_TIMING, type Frame, FrameKind, type GossipFrame, type GroupPresence, type LinkId, ManualClock, MemberHealth, type MemberRecord,
  type MeshDocument, type MeshEffect, MeshEffectKind, type MeshLimits, MeshMachine, type MeshTiming, type NodeState, type Random
} from '../index.js'

const TICK_MS = 100

/** Shape of a fleet: nodes are assigned to failure domains round robin, failure domains to regions likewise. */
export interface WorldOptions {
  readonly nodes: number
  readonly failureDomains?: number
  readonly regions?: number
  readonly seed?: number
  readonly delayMs?: (random: Random) => number
  readonly timing?: Partial<MeshTiming>
  readonly limits?: Partial<MeshLimits>
  /** Number of seeds that each node draws at random; if unset, all nodes have the same three. */
  readonly seedsPerNode?: number
}

interface Pipe {
  readonly from: WorldNode
  readonly to: WorldNode
  readonly fromLink: LinkId
  readonly toLink: LinkId
  open: boolean
  /** Frames of one direction arrive in order, as on a TCP connection. */
  lastArrivalMs: number
}

/** One simulated node: its state machine and the state of its process. */
export class WorldNode {
  machine: MeshMachine
  running = true
  paused = false
  incarnation = 1
  readonly pipes = new Map<LinkId, Pipe>()
  /** Events queued while the process is paused. */
  backlog: Array<() => void> = []
  dials = 0
  seeds: readonly string[] = []

  constructor (readonly world: MeshWorld, readonly name: string, readonly region: string, readonly failureDomain: string) {
    this.machine = this.createMachine()
  }

  get address (): string {
    return `${this.name}:1`
  }

  createMachine (): MeshMachine {
    const self: MemberRecord = {
      node: this.name, incarnation: this.incarnation, revision: 0, health: MemberHealth.Alive, draining: false, region: this.region, failureDomain: this.failureDomain, meshAddress: this.address, entryAddress: '', adminAddress: ''
    }
    return new MeshMachine({ self, timing: this.world.timing, limits: this.world.limits, random: this.world.random, seeds: () => this.seeds }, this.world.clock.nowMs())
  }

  stateOf (other: string): NodeState | undefined {
    return this.machine.members().find((member) => member.node === other)?.state
  }

  versionOf (key: string): number {
    return this.machine.documents.get(key)?.version ?? 0
  }
}

/** Simulates a network of mesh machines in memory with a manual clock: delays, partitions, pauses, kills and restarts. */
export class MeshWorld {
  readonly clock = new ManualClock(1_000)
  readonly random: Random
  readonly timing: MeshTiming
  readonly limits: MeshLimits
  readonly nodes: WorldNode[] = []
  readonly frames = new Map<FrameKind, number>()
  seeds: string[] = []
  /** Whether frames and dials get from one node to another. Frames held up by a partition arrive after it ends. */
  canReach: (from: WorldNode, to: WorldNode) => boolean = () => true
  /** Called after each event at a node. */
  observe: (node: WorldNode) => void = () => {}
  private readonly delayMs: (random: Random) => number
  private lastLink = 0

  constructor (options: WorldOptions) {
    const { nodes, failureDomains = 3, regions = 1, seed = 1 } = options
    this.random = createRandom(seed)
    this.timing = { ...DEFAULT_MESH_TIMING, ...options.timing }
    this.limits = { ...DEFAULT_MESH_LIMITS, ...options.limits }
    this.delayMs = options.delayMs ?? ((random) => 1 + random.next() * 2)
    for (let index = 0; index < nodes; index += 1) {
      const domain = index % failureDomains
      this.nodes.push(new WorldNode(this, `n${index}`, `r${domain % regions}`, `d${domain}`))
    }
    this.seeds = this.nodes.slice(0, Math.min(3, nodes)).map((node) => node.address)
    for (const node of this.nodes) {
      node.seeds = options.seedsPerNode === undefined ? this.seeds : Array.from({ length: options.seedsPerNode }, () => this.nodes[this.random.integer(nodes)]!.address)
      this.startTicks(node)
    }
  }

  node (index: number): WorldNode {
    return this.nodes[index]!
  }

  runningNodes (): WorldNode[] {
    return this.nodes.filter((node) => node.running)
  }

  pass (durationMs: number): void {
    this.clock.advance(durationMs)
  }

  /** Advances the clock in ticks until `holds` returns true; returns the time taken, or Infinity if `boundMs` passed first. */
  passUntil (holds: () => boolean, boundMs: number): number {
    for (let passedMs = 0; passedMs <= boundMs; passedMs += TICK_MS) {
      if (holds()) return passedMs
      this.pass(TICK_MS)
    }
    return Infinity
  }

  offer (node: WorldNode, document: MeshDocument): void {
    this.run(node, node.machine.offer([document]).effects)
  }

  publish (node: WorldNode, groups: readonly GroupPresence[]): void {
    this.run(node, node.machine.publish(groups, [], this.clock.nowMs()))
  }

  noteStoreContact (node: WorldNode): void {
    node.machine.noteStoreContact(this.clock.nowMs())
  }

  drain (node: WorldNode): void {
    this.run(node, node.machine.announceDraining(this.clock.nowMs()))
  }

  pause (node: WorldNode): void {
    node.paused = true
  }

  /** Continues the process: its overdue timer runs first, then the events that arrived during the pause. */
  resume (node: WorldNode): void {
    node.paused = false
    this.tick(node)
    const backlog = node.backlog
    node.backlog = []
    for (const event of backlog) event()
  }

  /** Terminates the process; its connections are reset. */
  kill (node: WorldNode): void {
    node.running = false
    node.paused = false
    node.backlog = []
    for (const link of [...node.pipes.keys()]) this.closePipe(node, link)
  }

  restart (node: WorldNode): void {
    if (node.running) this.kill(node)
    node.incarnation += 1
    node.machine = node.createMachine()
    node.running = true
    this.startTicks(node)
  }

  /** Runs an event at a node now, or when its paused process resumes. */
  private deliver (node: WorldNode, event: () => void): void {
    if (!node.running) return
    if (node.paused) node.backlog.push(() => this.deliver(node, event))
    else event()
  }

  private startTicks (node: WorldNode): void {
    const { incarnation } = node
    const step = (): void => {
      if (!node.running || node.incarnation !== incarnation) return
      if (!node.paused) this.tick(node)
      this.clock.registerTimer(TICK_MS, step)
    }
    this.clock.registerTimer(this.random.integer(TICK_MS), step)
  }

  private tick (node: WorldNode): void {
    this.run(node, node.machine.tick(this.clock.nowMs()))
  }

  private run (node: WorldNode, effects: readonly MeshEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === MeshEffectKind.Send) this.send(node, effect.link, effect.frame)
      else if (effect.kind === MeshEffectKind.Dial) this.dial(node, effect.address)
      else if (effect.kind === MeshEffectKind.Close) this.closePipe(node, effect.link)
    }
    this.observe(node)
  }

  private send (node: WorldNode, link: LinkId, frame: GossipFrame): void {
    const pipe = node.pipes.get(link)
    if (pipe === undefined) return
    this.frames.set(frame.kind, (this.frames.get(frame.kind) ?? 0) + 1)
    const copy = structuredClone(frame) as Frame as GossipFrame
    pipe.lastArrivalMs = Math.max(pipe.lastArrivalMs, this.clock.nowMs() + this.delayMs(this.random))
    this.arrive(pipe, copy, pipe.lastArrivalMs - this.clock.nowMs())
  }

  private arrive (pipe: Pipe, frame: GossipFrame, delayMs: number): void {
    this.clock.registerTimer(delayMs, () => {
      if (!pipe.open) return
      if (!this.canReach(pipe.from, pipe.to)) return this.arrive(pipe, frame, TICK_MS)
      this.deliver(pipe.to, () => {
        if (pipe.open) this.run(pipe.to, pipe.to.machine.receive(pipe.toLink, frame, this.clock.nowMs()))
      })
    })
  }

  private dial (node: WorldNode, address: string): void {
    node.dials += 1
    const target = this.nodes.find((other) => other.address === address)
    const { incarnation } = node
    this.clock.registerTimer(this.delayMs(this.random) * 2, () => {
      if (node.incarnation !== incarnation) return
      const reached = target !== undefined && target !== node && target.running && !target.paused && this.canReach(node, target) && this.canReach(target, node)
      if (reached) return this.connect(node, target)
      this.deliver(node, () => this.run(node, node.machine.dialFailed(address, this.clock.nowMs())))
    })
  }

  private connect (dialer: WorldNode, acceptor: WorldNode): void {
    const dialerLink = ++this.lastLink
    const acceptorLink = ++this.lastLink
    dialer.pipes.set(dialerLink, { from: dialer, to: acceptor, fromLink: dialerLink, toLink: acceptorLink, open: true, lastArrivalMs: 0 })
    acceptor.pipes.set(acceptorLink, { from: acceptor, to: dialer, fromLink: acceptorLink, toLink: dialerLink, open: true, lastArrivalMs: 0 })
    const [dialerSelf, acceptorSelf] = [dialer.machine.self, acceptor.machine.self]
    this.deliver(acceptor, () => this.run(acceptor, acceptor.machine.linkUp(acceptorLink, dialerSelf, undefined, this.clock.nowMs())))
    this.deliver(dialer, () => this.run(dialer, dialer.machine.linkUp(dialerLink, acceptorSelf, acceptor.address, this.clock.nowMs())))
  }

  private closePipe (node: WorldNode, link: LinkId): void {
    const pipe = node.pipes.get(link)
    if (pipe === undefined) return
    const back = pipe.to.pipes.get(pipe.toLink)
    node.pipes.delete(link)
    pipe.to.pipes.delete(pipe.toLink)
    this.clock.registerTimer(0, () => {
      pipe.open = false
      if (back !== undefined) back.open = false
    })
    node.machine.linkDown(link)
    this.clock.registerTimer(1, () => this.deliver(pipe.to, () => { pipe.to.machine.linkDown(pipe.toLink) }))
  }
}

export function createWorldDocument (key: string, version: number): MeshDocument {
  return { key, version, body: `${key}@${version}`, deleted: false }
}

/** Evidence that contains its true time: `running` holds the millisecond at which the oldest probe was sent. */
export function createDatedPresence (group: string, askedAtMs: number, nowMs: number, change: Partial<GroupPresence> = {}): GroupPresence {
  return { group, fabricDomain: 'f', failureDomain: 'd0', formation: 1, complete: true, leaving: false, ageMs: nowMs - askedAtMs, load: { running: askedAtMs, waiting: 0, capacity: 4, cacheUsed: 0, ageMs: 0 }, ...change }
}

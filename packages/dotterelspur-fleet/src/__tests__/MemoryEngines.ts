import {
  EndpointErrorKind, EngineState, failed, OrderKind, success, VmListState, VmRole, type Clock, type EndpointError, type EngineApi, type EngineOrder, type GroupId,
  type Result, type VmDirectory, type VmId, type VmListing, type VmRecord, type VmStatus
} from 'dotterelspur'

export interface EngineFixture {
  readonly vm: VmId
  readonly fabricDomain: string
  readonly failureDomain: string
  incarnation: number
  alive: boolean
  paused: boolean
  leaving: boolean
  running: number
  checksFencing: boolean
  fencing: number
  state: EngineState
  group: GroupId | null
  formation: number
  loaded: string | null
  listState: VmListState
  /** Number of requests that orders have aborted. */
  cutOffRequests: number
  /** The executed orders, oldest first. */
  readonly executedOrders: Array<{ readonly kind: OrderKind, readonly fencing: number, readonly formation: number }>
}

const LOAD_MS = 1_000
const JOIN_MS = 100

/** In-process engines without a network: each VM executes orders and takes time to load, and can be killed, paused and restarted. */
export class MemoryEngines {
  readonly vms = new Map<VmId, EngineFixture>()
  /** Called for each delivery of an order; a test may replace it to delay the delivery. */
  deliverOrder: (vm: VmId, deliver: () => void) => void = (_vm, deliver) => { deliver() }
  extraRecords: VmRecord[] = []
  listDown = false
  private listVersion = 1
  private frozenListing: VmListing | null = null

  constructor (private readonly clock: Clock) {}

  add (vm: VmId, fabricDomain: string, failureDomain: string, fields: Partial<EngineFixture> = {}): EngineFixture {
    const engine: EngineFixture = {
      vm,
      fabricDomain,
      failureDomain,
      incarnation: 1,
      alive: true,
      paused: false,
      leaving: false,
      running: 0,
      checksFencing: true,
      fencing: 0,
      state: EngineState.Idle,
      group: null,
      formation: 0,
      loaded: null,
      listState: VmListState.Live,
      cutOffRequests: 0,
      executedOrders: [],
      ...fields
    }
    this.vms.set(vm, engine)
    return engine
  }

  get (vm: VmId): EngineFixture {
    return this.vms.get(vm)!
  }

  kill (vm: VmId): void {
    this.get(vm).alive = false
    this.bumpListVersion()
  }

  /** Restarts the VM under a new incarnation. */
  restart (vm: VmId): void {
    const engine = this.get(vm)
    Object.assign(engine, { alive: true, paused: false, leaving: false, incarnation: engine.incarnation + 1, state: EngineState.Idle, group: null, formation: 0, loaded: null, fencing: 0, running: 0 })
    this.bumpListVersion()
  }

  bumpListVersion (): void {
    this.listVersion += 1
  }

  /** Makes the VM list return its present content until `thawList`. */
  freezeList (): void {
    this.frozenListing = this.listing()
  }

  thawList (): void {
    this.frozenListing = null
  }

  directory (): VmDirectory {
    return {
      list: async () => this.listDown ? failed({ kind: 'unavailable' as never, reason: 'down' }) : success(this.frozenListing ?? this.listing())
    }
  }

  /** The engine API of one node; `reaches` returns false for VMs that the node can't reach. */
  api (nodeClock: Clock, reaches: (vm: VmId) => boolean = () => true): EngineApi {
    const probe = async (address: string, timeoutMs: number): Promise<Result<VmStatus, EndpointError>> => {
      const engine = this.engineAt(address)
      if (engine === undefined || !engine.alive) return failed({ kind: EndpointErrorKind.NotRun, reason: 'refused' })
      if (engine.paused || !reaches(engine.vm)) return await timeout(nodeClock, timeoutMs)
      return success(this.status(engine))
    }
    const order = async (address: string, wanted: EngineOrder, fencing: number, timeoutMs: number): Promise<Result<VmStatus, EndpointError>> => {
      const engine = this.engineAt(address)
      if (engine === undefined || !engine.alive) return failed({ kind: EndpointErrorKind.NotRun, reason: 'refused' })
      if (engine.paused || !reaches(engine.vm)) return await timeout(nodeClock, timeoutMs)
      return await new Promise((resolve) => {
        const giveUp = nodeClock.registerTimer(timeoutMs, () => { resolve(failed({ kind: EndpointErrorKind.Ambiguous, reason: 'no answer' })) })
        this.deliverOrder(engine.vm, () => {
          giveUp()
          resolve(this.execute(engine, wanted, fencing))
        })
      })
    }
    return { probe, order } as unknown as EngineApi
  }

  execute (engine: EngineFixture, order: EngineOrder, fencing: number): Result<VmStatus, EndpointError> {
    if (engine.checksFencing && fencing < engine.fencing) return failed({ kind: EndpointErrorKind.Fenced, highestFencing: engine.fencing })
    engine.fencing = Math.max(engine.fencing, fencing)
    engine.executedOrders.push({ kind: order.kind, fencing, formation: order.kind === OrderKind.Preload ? 0 : order.formation })
    ORDERS[order.kind](this, engine, order as never)
    return success(this.status(engine))
  }

  form (engine: EngineFixture, order: Extract<EngineOrder, { kind: OrderKind.Form }>): void {
    if (engine.group === order.group && engine.formation === order.formation) return
    this.cutOff(engine)
    Object.assign(engine, { group: order.group, formation: order.formation, state: EngineState.Loading })
    const { incarnation } = engine
    const delayMs = engine.loaded === `${order.model}@${order.version}` ? JOIN_MS : LOAD_MS
    this.clock.registerTimer(delayMs, () => {
      const current = engine.incarnation === incarnation && engine.group === order.group && engine.formation === order.formation
      if (current && engine.state === EngineState.Loading) Object.assign(engine, { state: EngineState.Ready, loaded: `${order.model}@${order.version}` })
    })
  }

  preload (engine: EngineFixture, order: Extract<EngineOrder, { kind: OrderKind.Preload }>): void {
    const { incarnation } = engine
    this.clock.registerTimer(LOAD_MS, () => {
      if (engine.incarnation === incarnation) engine.loaded = `${order.model}@${order.version}`
    })
  }

  release (engine: EngineFixture): void {
    this.cutOff(engine)
    Object.assign(engine, { group: null, formation: 0, state: EngineState.Idle })
  }

  /** Aborts the requests of all members of the engine's group, since a group that loses a VM loses all its requests. */
  private cutOff (engine: EngineFixture): void {
    for (const other of this.vms.values()) {
      if (engine.group === null || other.group !== engine.group || other.formation !== engine.formation) continue
      other.cutOffRequests += other.running
      other.running = 0
    }
  }

  private status (engine: EngineFixture): VmStatus {
    const [model, version] = engine.loaded?.split('@') ?? [null, null]
    return {
      vm: engine.vm,
      incarnation: engine.incarnation,
      state: engine.leaving ? EngineState.Leaving : engine.state,
      group: engine.group,
      formation: engine.formation,
      model: model ?? null,
      version: version ?? null,
      adapters: [],
      loaded: model == null ? [] : [{ model, version: version!, adapters: [] }],
      fencing: engine.fencing,
      load: { running: engine.running, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 }
    }
  }

  private engineAt (address: string): EngineFixture | undefined {
    return this.vms.get(address.slice('http://'.length))
  }

  private listing (): VmListing {
    const vms = [...this.vms.values()].filter((engine) => engine.alive).map((engine): VmRecord => ({
      vm: engine.vm,
      incarnation: engine.incarnation,
      role: VmRole.Engine,
      state: engine.listState,
      address: `http://${engine.vm}`,
      region: 'r1',
      failureDomain: engine.failureDomain,
      fabricDomain: engine.fabricDomain
    }))
    return { vms: [...vms, ...this.extraRecords], version: this.listVersion }
  }
}

async function timeout (clock: Clock, timeoutMs: number): Promise<Result<never, EndpointError>> {
  await new Promise<void>((resolve) => { clock.registerTimer(timeoutMs, resolve) })
  return failed({ kind: EndpointErrorKind.Ambiguous, reason: 'no answer' })
}

type OrderTable = { readonly [Kind in OrderKind]: (engines: MemoryEngines, engine: EngineFixture, order: Extract<EngineOrder, { kind: Kind }>) => void }

const ORDERS: OrderTable = {
  [OrderKind.Form]: (engines, engine, order) => { engines.form(engine, order) },
  [OrderKind.Preload]: (engines, engine, order) => { engines.preload(engine, order) },
  [OrderKind.Drain]: (_engines, engine, order) => {
    if (engine.group === order.group && engine.formation === order.formation) engine.state = EngineState.Leaving
  },
  [OrderKind.Release]: (engines, engine, order) => {
    if (engine.group === order.group && engine.formation === order.formation) engines.release(engine)
  }
}

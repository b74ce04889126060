import type { Random } from 'dotterelspur'

/** Faults of the platform's service as a whole. */
export enum PlatformFaultKind {
  None = 'none',
  /** Connections are closed without a response, before a call has an effect. */
  Down = 'down',
  /** Calls take `delayMs` longer; a write waits either before or after it takes effect. */
  Slow = 'slow',
  /** Writes take effect, and their connections are closed without a response. */
  LoseReplies = 'lose-replies',
  /** Reads return old data. */
  StaleReads = 'stale-reads',
  /** Watches skip events, repeat them, send older ones, or end. */
  DropWatches = 'drop-watches'
}

export interface PlatformFault {
  readonly kind: PlatformFaultKind
  /** For Slow: additional duration of a call. */
  readonly delayMs?: number
  /** Share of calls that are affected, 0 to 1; by default all, except for watches. */
  readonly probability?: number
}

export enum CallKind {
  Read = 'read',
  Write = 'write',
  Watch = 'watch'
}

/** Effect of the faults on a call. */
export interface CallPlan {
  readonly cut: boolean
  readonly delayBeforeMs: number
  readonly delayAfterMs: number
  readonly loseReply: boolean
  readonly stale: boolean
}

/** Effect of the faults on an event of a watch. */
export enum EventPlan {
  Send = 'send',
  Skip = 'skip',
  Repeat = 'repeat',
  /** An earlier version is sent after it. */
  GoBack = 'go-back',
  Close = 'close'
}

const CLEAN: CallPlan = { cut: false, delayBeforeMs: 0, delayAfterMs: 0, loseReply: false, stale: false }
const DEFAULT_DELAY_MS = 1_000
const DEFAULT_EVENT_PROBABILITY = 0.6
const FAULTY_EVENTS = [EventPlan.Skip, EventPlan.Repeat, EventPlan.GoBack, EventPlan.Close] as const

type Planner = (call: CallKind, fault: PlatformFault, random: Random) => Partial<CallPlan>

const PLANNERS: Readonly<Record<PlatformFaultKind, Planner>> = {
  [PlatformFaultKind.None]: () => ({}),
  [PlatformFaultKind.Down]: () => ({ cut: true }),
  [PlatformFaultKind.Slow]: planSlow,
  [PlatformFaultKind.LoseReplies]: (call) => ({ loseReply: call === CallKind.Write }),
  [PlatformFaultKind.StaleReads]: (call) => ({ stale: call === CallKind.Read }),
  [PlatformFaultKind.DropWatches]: () => ({})
}

function planSlow (call: CallKind, fault: PlatformFault, random: Random): Partial<CallPlan> {
  const delayMs = fault.delayMs ?? DEFAULT_DELAY_MS
  const after = call === CallKind.Write && random.next() < 0.5
  return after ? { delayAfterMs: delayMs } : { delayBeforeMs: delayMs }
}

/** The active faults. `set` replaces all of them, `add` adds one. */
export class PlatformFaults {
  private active: readonly PlatformFault[] = []
  private readonly cutOffAddresses = new Set<string>()
  private readonly listeners = new Set<() => void>()

  constructor (private readonly random: Random) {}

  set (fault: PlatformFault): void {
    this.active = fault.kind === PlatformFaultKind.None ? [] : [fault]
    this.changed()
  }

  add (fault: PlatformFault): void {
    this.active = [...this.active.filter((other) => other.kind !== fault.kind), fault]
    this.changed()
  }

  remove (kind: PlatformFaultKind): void {
    this.active = this.active.filter((fault) => fault.kind !== kind)
    this.changed()
  }

  has (kind: PlatformFaultKind): boolean {
    return this.active.some((fault) => fault.kind === kind)
  }

  /** Blocks all traffic between the platform and callers at this IP address. */
  cutOff (address: string): void {
    this.cutOffAddresses.add(address)
    this.changed()
  }

  restore (address: string): void {
    this.cutOffAddresses.delete(address)
    this.changed()
  }

  isCutOff (address: string): boolean {
    return this.cutOffAddresses.has(address)
  }

  /** The listener runs after each change of the faults. */
  registerListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  planCall (call: CallKind): CallPlan {
    let plan = CLEAN
    for (const fault of this.active) {
      if (this.random.next() >= (fault.probability ?? 1)) continue
      plan = { ...plan, ...PLANNERS[fault.kind](call, fault, this.random) }
    }
    return plan
  }

  planEvent (): EventPlan {
    const fault = this.active.find((candidate) => candidate.kind === PlatformFaultKind.DropWatches)
    if (fault === undefined) return EventPlan.Send
    if (this.random.next() >= (fault.probability ?? DEFAULT_EVENT_PROBABILITY)) return EventPlan.Send
    return FAULTY_EVENTS[this.random.integer(FAULTY_EVENTS.length)]!
  }

  /** An earlier version with which to answer a stale read. */
  earlierVersion (currentVersion: number, maximumLag: number): number {
    return Math.max(0, currentVersion - this.random.integer(maximumLag + 1))
  }

  private changed (): void {
    for (const listener of [...this.listeners]) listener()
  }
}

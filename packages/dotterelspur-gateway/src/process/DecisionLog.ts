import pino, { type Logger } from 'pino'
import { TokenBucket, type Clock } from 'dotterelspur'

/** Sustained rate of log lines per process; a busy node completes about 30 requests a second. */
const LINES_PER_SECOND = 150
/** Burst of log lines allowed, for example when one fault ends many requests together. */
const LINE_BURST = 600
/** Bytes buffered before a write; one system call for about twenty lines. */
const WRITE_BYTES = 4_096
/** Bytes buffered while standard output is not read; further lines are dropped to bound memory. */
const BACKLOG_BYTES = 1_048_576
const FLUSH_INTERVAL_MS = 500
/** Delay after which a line of an unusual event is written, with the lines of events that it comes with. */
const URGENT_FLUSH_MS = 20

/** Kinds of log events. Each kind has the same fields on every line; docs/OPERATIONS.md lists them. */
export enum LogKind {
  Start = 'start',
  Stop = 'stop',
  /** A planned stop has ended: the requests that this node took and refused meanwhile, and those that were cut. */
  Stopped = 'stopped',
  /** A request still ran when its node's planned stop ended: when it arrived, why it had been taken, and how far its response had come. */
  RequestCut = 'request-cut',
  /** The process received a signal: in which phase, and what it does about it. */
  Signal = 'signal',
  /** Connections were closed because of what callers together make the process hold. */
  ConnectionsShed = 'connections-shed',
  Reload = 'reload',
  DependencyLost = 'dependency-lost',
  DependencyRegained = 'dependency-regained',
  /** The store states a new era: it came back from an older copy of its data. */
  StoreEra = 'store-era',
  /** A response of the store states no valid era; the known one stays in force. */
  StoreEraRejected = 'store-era-rejected',
  /** Connections to the store no longer answered, and were replaced by new ones. */
  StoreConnectionsRenewed = 'store-connections-renewed',
  /** This node has listed a prefix of the store. */
  PrefixListed = 'prefix-listed',
  /** A poll of a prefix failed, or was answered too late: why, how long after it was sent, and how long ago the store answered any call. */
  PrefixLost = 'prefix-lost',
  /** Endpoints whose entries are missing from the store stay in use for a while, since the entries may return. */
  EntriesKept = 'entries-kept',
  /** The lease holder's states arrive late: from which node, and by how much at most. */
  LinkLate = 'link-late',
  LinkOnTime = 'link-on-time',
  ManifestInForce = 'manifest-in-force',
  ManifestRejected = 'manifest-rejected',
  RequestEnded = 'request-ended',
  /** No connection to an endpoint was established; how long ago this node last connected to any, and to how many it does not. */
  ConnectionFailed = 'connection-failed',
  /** This node no longer connects to endpoints that other nodes reach: new connections are relayed by other nodes. */
  LinksLost = 'links-lost',
  LinksRegained = 'links-regained',
  /** An exchange has been silent for too long: by which evidence, for how long, and after how many events. */
  ExchangeSilent = 'exchange-silent',
  /** An exchange that was silent goes on: for how long it was silent. */
  ExchangeResumed = 'exchange-resumed',
  /** An exchange with an endpoint broke off: what was sent, where, and whether the endpoint has terminated. */
  ExchangeLost = 'exchange-lost',
  /** A response exceeded a limit, which ended its exchange as garbled. */
  ResponseLimit = 'response-limit',
  /** The poison state of a request that lost endpoints has changed. */
  RequestJudged = 'request-judged',
  LeaseTaken = 'lease-taken',
  LeaseLost = 'lease-lost',
  FormationBegun = 'formation-begun',
  FormationEnded = 'formation-ended',
  HostStaged = 'host-staged',
  /** Periodic summary of the fleet, as the lease holder observes it. */
  FleetState = 'fleet-state',
  /** An entry that does not belong to an endpoint or a node is stored under an endpoint's or a node's key. */
  EntryRejected = 'entry-rejected',
  /** Size of the endpoint list when the process first read it; each later change is logged separately. */
  EndpointsRead = 'endpoints-read',
  EndpointListed = 'endpoint-listed',
  EndpointUnlisted = 'endpoint-unlisted',
  EndpointUnreachable = 'endpoint-unreachable',
  /** An endpoint accepts connections and answers nothing. */
  EndpointUnresponsive = 'endpoint-unresponsive',
  EndpointReachable = 'endpoint-reachable',
  GroupSuspected = 'group-suspected',
  /** This node stops sending requests to a stalled group while another group can take them. */
  GroupStopped = 'group-stopped',
  /** An endpoint has stated a new rate limit, or none any more. */
  EndpointLimit = 'endpoint-limit',
  /** Requests that this node sent to an endpoint while the endpoint stated a rate limit. */
  SentUnderLimit = 'sent-under-limit',
  /** An endpoint has rejected a request and asked this node to back off. */
  EndpointRest = 'endpoint-rest',
  /** Requests that this node sent to an endpoint during the back-off that it had asked for. */
  SentInRest = 'sent-in-rest',
  /** An endpoint has stated in a response to this node that it is leaving. */
  EndpointLeaving = 'endpoint-leaving',
  /** Operators have evacuated a failure domain: this node sends no more requests there. */
  EvacuationBegun = 'evacuation-begun',
  EvacuationEnded = 'evacuation-ended',
  /** No request of this node runs in an evacuated failure domain any more. */
  EvacuationDrained = 'evacuation-drained',
  /** An endpoint is cold: it sustains only the rate that its service declares for cold endpoints. */
  EndpointCold = 'endpoint-cold',
  /** A cold endpoint is warm. */
  EndpointWarm = 'endpoint-warm',
  /** An endpoint states a remaining cold time that is no non-negative number; the known one stays in force. */
  ColdTimeRejected = 'cold-time-rejected',
  /** What this node uses of a service's retry budget, while it retries: its requests and retries in the window, and the view that its part follows from. */
  RetryBudget = 'retry-budget',
  /** This node's part of the budgets that all nodes share has changed: the nodes that count, those that are listed, and the age of the list. */
  BudgetPart = 'budget-part',
  NodeListed = 'node-listed',
  NodeUnlisted = 'node-unlisted',
  /** The event loop of this process did not run timers for a while, whatever held it. */
  LoopHeld = 'loop-held',
  LinesDropped = 'lines-dropped',
  Unexpected = 'unexpected'
}

/** Events that explain a request's end if the process is killed soon after them. */
const URGENT_KINDS: ReadonlySet<LogKind> = new Set([LogKind.ExchangeSilent, LogKind.ExchangeLost, LogKind.ResponseLimit, LogKind.GroupStopped, LogKind.ManifestInForce, LogKind.Signal, LogKind.Stop, LogKind.Unexpected])

export type LogFields = Readonly<Record<string, unknown>>

/**
 * Writes one JSON line for each decision to standard output. Writes are buffered and never awaited. Lines beyond the
 * rate limit are dropped, counted and reported.
 */
export class DecisionLog {
  private readonly bucket: TokenBucket
  private droppedLines = 0
  private isFlushScheduled = false

  constructor (private readonly clock: Clock, node: string, private readonly logger: Logger = createLogger(node)) {
    this.bucket = new TokenBucket(LINES_PER_SECOND, LINE_BURST, clock.nowMs())
  }

  /** Log lines dropped since the process started. */
  get dropped (): number {
    return this.droppedLines
  }

  write (kind: LogKind, fields: LogFields): void {
    const nowMs = this.clock.nowMs()
    if (!this.bucket.has(1, nowMs)) {
      this.droppedLines += 1
      return
    }
    this.bucket.take(1)
    this.logger.info({ atMs: Math.round(nowMs), event: kind, ...fields })
    if (URGENT_KINDS.has(kind)) this.flushSoon()
  }

  /** Logs the number of dropped lines, if any. Called periodically. */
  reportDropped (): void {
    if (this.droppedLines > 0) this.logger.info({ event: LogKind.LinesDropped, total: this.droppedLines })
  }

  /** Flushes buffered lines. */
  flush (): void {
    this.logger.flush()
  }

  private flushSoon (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    this.clock.registerTimer(URGENT_FLUSH_MS, () => {
      this.isFlushScheduled = false
      this.flush()
    })
  }

  /** Resolves once all buffered lines are written; a process that exits earlier loses its last lines. */
  async flushed (): Promise<void> {
    await new Promise<void>((resolve) => { this.logger.flush(() => { resolve() }) })
  }
}

function createLogger (node: string): Logger {
  const destination = pino.destination({ fd: 1, sync: false, minLength: WRITE_BYTES, maxLength: BACKLOG_BYTES, periodicFlush: FLUSH_INTERVAL_MS })
  return pino({ base: { node }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
}

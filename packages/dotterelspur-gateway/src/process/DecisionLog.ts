import pino, { type Logger } from 'pino'
import { TokenBucket, type Clock } from 'dotterelspur'

/** Lines a second that a process may write in the long run; a busy node ends about 30 requests a second. */
const LINES_PER_SECOND = 150
/** Lines that may come at once, as when a fault ends many requests together. */
const LINE_BURST = 600
/** Bytes gathered before a write; one system call for about twenty lines. */
const WRITE_BYTES = 4_096
/** Bytes that may wait while nobody reads; more are dropped, and memory stays bounded. */
const BACKLOG_BYTES = 1_048_576
const FLUSH_INTERVAL_MS = 500

/** What happened. Each kind has the same fields on every line; docs/OPERATIONS.md lists them. */
export enum LogKind {
  Start = 'start',
  Stop = 'stop',
  Reload = 'reload',
  DependencyLost = 'dependency-lost',
  DependencyRegained = 'dependency-regained',
  ManifestInForce = 'manifest-in-force',
  ManifestRejected = 'manifest-rejected',
  RequestEnded = 'request-ended',
  /** An exchange broke off: what was sent, where, and whether the endpoint has ended. */
  ExchangeLost = 'exchange-lost',
  /** What is believed of a request that lost endpoints has changed. */
  RequestJudged = 'request-judged',
  LeaseTaken = 'lease-taken',
  LeaseLost = 'lease-lost',
  FormationBegun = 'formation-begun',
  FormationEnded = 'formation-ended',
  HostStaged = 'host-staged',
  /** Now and then: what the fleet is made of, as the deciding node sees it. */
  FleetState = 'fleet-state',
  /** Somebody else's entry stands where an endpoint's or a node's should. */
  EntryRejected = 'entry-rejected',
  /** The list as it was when the process first read it; from then on each change has its line. */
  EndpointsRead = 'endpoints-read',
  EndpointListed = 'endpoint-listed',
  EndpointUnlisted = 'endpoint-unlisted',
  EndpointUnreachable = 'endpoint-unreachable',
  EndpointReachable = 'endpoint-reachable',
  GroupSuspected = 'group-suspected',
  /** This node no longer sends to a group while another takes its requests. */
  GroupStopped = 'group-stopped',
  /** An endpoint has named another limit, or none any more. */
  EndpointLimit = 'endpoint-limit',
  /** What this node sent to an endpoint while it named a limit. */
  SentUnderLimit = 'sent-under-limit',
  /** An endpoint has turned a request away and asked this node for rest. */
  EndpointRest = 'endpoint-rest',
  /** What this node sent to an endpoint during the rest that it had asked for. */
  SentInRest = 'sent-in-rest',
  /** An endpoint has said in an answer to this node that it leaves. */
  EndpointLeaving = 'endpoint-leaving',
  NodeListed = 'node-listed',
  NodeUnlisted = 'node-unlisted',
  LinesDropped = 'lines-dropped',
  Unexpected = 'unexpected'
}

export type LogFields = Readonly<Record<string, unknown>>

/**
 * One JSON line for each decision, on standard output. Writes are gathered and never waited for; beyond its rate a
 * process drops lines, counts them, and says so.
 */
export class DecisionLog {
  private readonly bucket: TokenBucket
  private droppedLines = 0

  constructor (private readonly clock: Clock, node: string, private readonly logger: Logger = createLogger(node)) {
    this.bucket = new TokenBucket(LINES_PER_SECOND, LINE_BURST, clock.nowMs())
  }

  /** Lines dropped since the start. */
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
  }

  /** Says how many lines are missing, if any are. Called now and then. */
  reportDropped (): void {
    if (this.droppedLines > 0) this.logger.info({ event: LogKind.LinesDropped, total: this.droppedLines })
  }

  /** Writes out what waits. */
  flush (): void {
    this.logger.flush()
  }

  /** Resolves once all is written: a process that ends before loses its last lines. */
  async flushed (): Promise<void> {
    await new Promise<void>((resolve) => { this.logger.flush(() => { resolve() }) })
  }
}

function createLogger (node: string): Logger {
  const destination = pino.destination({ fd: 1, sync: false, minLength: WRITE_BYTES, maxLength: BACKLOG_BYTES, periodicFlush: FLUSH_INTERVAL_MS })
  return pino({ base: { node }, timestamp: pino.stdTimeFunctions.isoTime }, destination)
}

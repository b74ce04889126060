import { type CallEvent, CallEventKind, type Clock, failed, type HomeId, homeOf, isLiving, type MemberRecord, type MeshError, MeshErrorKind, type NodeId, type Result, success } from 'dotterelspur'
import { type Connection, ConnectionPurpose } from '../connection/Connection.js'
import { type Refusal, RefusalReason } from '../connection/Handshake.js'
import type { Transport } from '../connection/Transport.js'
import type { CallLimits } from './CallLimits.js'
import { MAX_MISSED_KEEP_ALIVES } from './CallLimits.js'
import { CallLink } from './CallLink.js'

type LinkResult = Result<CallLink, MeshError>

export interface CallClientOptions {
  readonly transport: Transport
  readonly clock: Clock
  readonly limits: CallLimits
  readonly record: (node: NodeId) => MemberRecord | undefined
}

/** Makes calls, each over a connection to the one process that it names. Connections are kept for a while. */
export class CallClient {
  private readonly pendingLinks = new Map<HomeId, Promise<LinkResult>>()
  private readonly established = new Map<HomeId, CallLink>()

  constructor (private readonly options: CallClientOptions) {}

  get linkCount (): number {
    return this.established.size
  }

  async * call (home: HomeId, method: string, request: unknown, signal: AbortSignal): AsyncGenerator<CallEvent, void> {
    const link = await abortable(this.linkTo(home), signal)
    if (!link.ok) return yield { kind: CallEventKind.Error, error: link.error }
    const opened = link.value.open(method, request)
    if (!opened.ok) return yield { kind: CallEventKind.Error, error: opened.error }
    const call = opened.value
    const onAbort = (): void => call.cancel('cancelled by the caller')
    signal.addEventListener('abort', onAbort, { once: true })
    try {
      for (;;) {
        const event = await call.next()
        yield event
        if (event.kind !== CallEventKind.Message) return
      }
    } finally {
      signal.removeEventListener('abort', onAbort)
      link.value.release(call)
    }
  }

  /** Closes what is idle for long and breaks off what is silent. */
  tick (nowMs: number): void {
    const { idleTimeoutMs, keepAliveIntervalMs } = this.options.limits
    for (const link of this.established.values()) {
      if (nowMs - link.lastActivityAtMs >= MAX_MISSED_KEEP_ALIVES * keepAliveIntervalMs) link.connection.terminate('silent')
      else if (link.isIdle && nowMs - link.idleSinceMs >= idleTimeoutMs) link.connection.close('idle')
    }
  }

  /** Counts silence from now on. */
  resetActivity (nowMs: number): void {
    for (const link of this.established.values()) link.lastActivityAtMs = nowMs
  }

  ping (): void {
    for (const link of this.established.values()) link.connection.ping()
  }

  private linkTo (home: HomeId): Promise<LinkResult> {
    const held = this.established.get(home)
    if (held?.connection.isOpen === true) return Promise.resolve(success(held))
    const pending = this.pendingLinks.get(home)
    if (pending !== undefined) return pending
    const connecting = this.connect(home).finally(() => this.pendingLinks.delete(home))
    this.pendingLinks.set(home, connecting)
    return connecting
  }

  private async connect (home: HomeId): Promise<LinkResult> {
    const target = this.findTarget(home)
    if (!target.ok) return target
    if (!this.evictIdleLink()) return failed({ kind: MeshErrorKind.Overloaded, reason: 'too many calls are under way to other nodes' })
    const { node, incarnation, meshAddress } = target.value
    const dialed = await this.options.transport.dial(meshAddress, { node, incarnation }, ConnectionPurpose.Call)
    return dialed.ok ? success(this.addLink(home, dialed.value)) : failed(errorOfRefusal(dialed.error))
  }

  private findTarget (home: HomeId): Result<MemberRecord, MeshError> {
    const separator = home.lastIndexOf('.')
    const node = home.slice(0, separator)
    const incarnation = Number(home.slice(separator + 1))
    const record = this.options.record(node)
    if (record === undefined) return failed({ kind: MeshErrorKind.UnknownNode, reason: `${node} is not known` })
    if (record.incarnation > incarnation) return failed({ kind: MeshErrorKind.WrongIncarnation, reason: `${node} has restarted as ${homeOf(record)}` })
    if (!isLiving(record)) return failed({ kind: MeshErrorKind.UnknownNode, reason: `${node} is gone` })
    return success({ ...record, incarnation })
  }

  private addLink (home: HomeId, connection: Connection): CallLink {
    const nowMs = (): number => this.options.clock.nowMs()
    const link: CallLink = new CallLink(connection, this.options.limits, nowMs, () => {
      if (this.established.get(home) === link) this.established.delete(home)
    })
    this.established.set(home, link)
    return link
  }

  private evictIdleLink (): boolean {
    if (this.established.size < this.options.limits.maxOutgoingLinks) return true
    const idle = [...this.established.values()].filter((link) => link.isIdle).sort((left, right) => left.idleSinceMs - right.idleSinceMs)[0]
    idle?.connection.close('making room')
    return idle !== undefined
  }
}

function errorOfRefusal ({ reason, detail }: Refusal): MeshError {
  if (reason === RefusalReason.WrongIncarnation) return { kind: MeshErrorKind.WrongIncarnation, reason: detail }
  return { kind: MeshErrorKind.Unreachable, reason: `${reason}: ${detail}` }
}

/** The link, or an error at once when the caller gives up while it is being made. */
function abortable (link: Promise<LinkResult>, signal: AbortSignal): Promise<LinkResult> {
  const givenUp: LinkResult = failed({ kind: MeshErrorKind.Unreachable, reason: 'cancelled before anything was sent' })
  if (signal.aborted) return Promise.resolve(givenUp)
  return new Promise((resolve, reject) => {
    const onAbort = (): void => resolve(givenUp)
    signal.addEventListener('abort', onAbort, { once: true })
    link.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}

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

/** Makes calls, each over a connection to the process that it names. Connections are reused until they are idle for too long. */
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

  /** Closes connections that have been idle for too long and terminates those whose peer has been silent for too long. */
  tick (nowMs: number): void {
    const { idleTimeoutMs, keepAliveIntervalMs } = this.options.limits
    for (const link of this.established.values()) {
      if (nowMs - link.lastActivityAtMs >= MAX_MISSED_KEEP_ALIVES * keepAliveIntervalMs) link.connection.terminate('silent')
      else if (link.isIdle && nowMs - link.idleSinceMs >= idleTimeoutMs) link.connection.close('idle')
    }
  }

  /** Restarts the silence timeout of all connections. */
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
    if (!this.evictIdleLink()) return failed({ kind: MeshErrorKind.Overloaded, reason: 'the limit of connections for calls is reached and none is idle' })
    const { node, incarnation, meshAddress } = target.value
    const dialed = await this.options.transport.dial(meshAddress, { node, incarnation }, ConnectionPurpose.Call)
    return dialed.ok ? success(this.addLink(home, dialed.value)) : failed(errorOfRefusal(dialed.error))
  }

  private findTarget (home: HomeId): Result<MemberRecord, MeshError> {
    const separator = home.lastIndexOf('.')
    const node = home.slice(0, separator)
    const incarnation = Number(home.slice(separator + 1))
    const record = this.options.record(node)
    if (record === undefined) return failed({ kind: MeshErrorKind.UnknownNode, reason: `${node} is not a member of the mesh` })
    if (record.incarnation > incarnation) return failed({ kind: MeshErrorKind.WrongIncarnation, reason: `${node} has restarted as ${homeOf(record)}` })
    if (!isLiving(record)) return failed({ kind: MeshErrorKind.UnknownNode, reason: `${node} is dead or has left` })
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

/** Resolves to the link, or to an error as soon as the caller aborts while the connection is being established. */
function abortable (link: Promise<LinkResult>, signal: AbortSignal): Promise<LinkResult> {
  const aborted: LinkResult = failed({ kind: MeshErrorKind.Unreachable, reason: 'cancelled before the call was sent' })
  if (signal.aborted) return Promise.resolve(aborted)
  return new Promise((resolve, reject) => {
    const onAbort = (): void => resolve(aborted)
    signal.addEventListener('abort', onAbort, { once: true })
    link.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}

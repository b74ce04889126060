import type { IncomingMessage } from 'node:http'
import { AccessKind, BodyMemory, bodyWaitMs, readBody, RequestKind, SHORT_WAIT_MS, statedBytes, type BodyErrorKind, type Clock, type HeldBody, type Result } from 'dotterelspur'
import { guardedConnection, type ListenerGuard } from 'dotterelspur-listener'
import type { WireFormat } from '../process/GatewayPorts.js'
import type { ManifestFollower } from '../process/ManifestFollower.js'
import { INITIAL_LIMITS } from './callerLimits.js'
import { BODIES_SHARE, BODY_MEMORY_BYTES } from './requestLimits.js'
import { hostOf, pathOf } from './requestTarget.js'

/** Retry-After of a body for which there was no memory, at the least: the requests that hold it end within about this time. */
const NO_ROOM_RETRY_MS = 500

export interface CallerBodiesParts {
  readonly clock: Clock
  readonly wire: WireFormat
  readonly manifest: ManifestFollower
  readonly guard: ListenerGuard
}

/** The bodies of callers' requests: those that arrive, and those whose requests are under way. */
export class CallerBodies {
  private readonly memory: BodyMemory

  constructor (private readonly parts: CallerBodiesParts) {
    const { load } = parts.guard
    this.memory = new BodyMemory(Math.min(BODY_MEMORY_BYTES, load.limits.heldBytes * BODIES_SHARE), () => this.maxBodyBytes, load)
  }

  get sizeBytes (): number {
    return this.memory.sizeBytes
  }

  get waitingBodies (): number {
    return this.memory.waitingBodies
  }

  /** Retry-After of a body that is refused now: those that wait are read before it. */
  get retryAfterMs (): number {
    return Math.max(NO_ROOM_RETRY_MS, this.memory.expectedWaitMs)
  }

  /** Counts the body of a request until it is released. */
  open (request: IncomingMessage): HeldBody {
    return this.memory.open((changeBytes) => { guardedConnection(request.socket)?.growBodies(changeBytes) }, statedBytes(request.headers['content-length']))
  }

  async read (request: IncomingMessage, held: HeldBody): Promise<Result<Buffer, BodyErrorKind>> {
    return await readBody(request, this.maxBodyBytes, held, this.parts.clock, () => this.maxWaitMs(request))
  }

  private get maxBodyBytes (): number {
    return this.parts.manifest.current?.manifest.limits.maxBodyBytes ?? INITIAL_LIMITS.maxBodyBytes
  }

  private maxWaitMs (request: IncomingMessage): number {
    const { key, deadlineMs } = this.parts.wire.readCallerHeaders(request.headers)
    const access = this.parts.manifest.current?.access({ host: hostOf(request), path: pathOf(request), key })
    if (access?.kind !== AccessKind.Allowed) return SHORT_WAIT_MS
    const { timeoutMs, kind, resumable } = access.route
    const isIdempotent = kind === RequestKind.Idempotent || (kind === RequestKind.Streaming && resumable)
    return bodyWaitMs(Math.min(timeoutMs, deadlineMs ?? Infinity), isIdempotent)
  }
}

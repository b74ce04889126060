import type { Socket } from 'node:net'
import type { Clock, EndpointId } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import { connectWithin } from './connectWithin.js'
import { CONNECT_TIMEOUT_MS, type ConnectorFactory } from './EndpointChannel.js'

/** Connects this node's channels to endpoints, and logs failures. */
export class EndpointConnector {
  private connectedAtMs: number | null = null
  private readonly failing = new Set<EndpointId>()

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  /** Number of endpoints to which the last connection attempt failed. */
  get unconnectedEndpoints (): number {
    return this.failing.size
  }

  /** The connector for the channels of an endpoint. */
  connectorOf (endpoint: EndpointId): ConnectorFactory {
    return (onConnected) => {
      const connect = connectWithin(CONNECT_TIMEOUT_MS, (socket: Socket) => {
        this.connectedAtMs = this.clock.nowMs()
        this.failing.delete(endpoint)
        onConnected(socket)
      })
      return (options, callback) => {
        const startedAtMs = this.clock.nowMs()
        connect(options, (...result) => {
          if (result[0] !== null) this.noteFailure(endpoint, result[0], startedAtMs)
          callback(...result)
        })
      }
    }
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.failing) {
      if (!endpoints.has(endpoint)) this.failing.delete(endpoint)
    }
  }

  private noteFailure (endpoint: EndpointId, error: Error, startedAtMs: number): void {
    const nowMs = this.clock.nowMs()
    this.failing.add(endpoint)
    this.log.write(LogKind.ConnectionFailed, {
      endpoint,
      reason: (error as NodeJS.ErrnoException).code ?? error.message,
      tookMs: Math.round(nowMs - startedAtMs),
      unconnected: this.failing.size,
      lastConnectedAgoMs: this.connectedAtMs === null ? null : Math.round(nowMs - this.connectedAtMs)
    })
  }
}

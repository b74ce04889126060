import type { IncomingMessage } from 'node:http'
import { connect, type Socket } from 'node:net'
import { parseSocketAddress, type EndpointId, type SocketAddress } from 'dotterelspur'
import { joinSockets } from './joinSockets.js'

/** A live endpoint accepts a connection within a few milliseconds; the requesting node tries another relay meanwhile. */
const DIAL_TIMEOUT_MS = 250
/** Bounds the sockets and buffers that other nodes can occupy. */
const MAX_RELAYS = 512
const KEEP_ALIVE_DELAY_MS = 5_000
/** Relays whose end is remembered: requesters ask within milliseconds. */
const MAX_REMEMBERED_ENDS = 1_024

/** Header of a relay request with an id of the requester's choice, by which it asks how the connection ended. */
export const RELAY_ID_HEADER = 'relay-id'
/** Path at which the id is asked for: 204 if the endpoint closed the connection in order, otherwise 404. */
export const RELAY_END_PATH = '/relay-ends/'

/** Statuses of responses to a relay request. */
export enum RelayStatus {
  Connected = 200,
  /** The endpoint is unknown to this node, or is leaving. */
  UnknownEndpoint = 404,
  /** The endpoint refuses this node's connections: no process listens at its address. */
  Refused = 410,
  /** This node does not reach the endpoint either. */
  Unreached = 502,
  /** This node is cut off, stops, or has too many relays. */
  Unavailable = 503
}

export interface RelayPorts {
  /** The address of a listed endpoint that takes requests; null for any other. */
  addressOf (endpoint: EndpointId): string | null
  /** Whether this node's own links to endpoints have failed. */
  isCutOff (): boolean
}

/**
 * Relays connections of other nodes to endpoints that they don't reach themselves. The requesting node decides everything about the
 * requests; this node forwards bytes, to listed endpoints only.
 */
export class RelayServer {
  private readonly open = new Set<Socket>()
  private readonly orderlyEnds = new Set<string>()
  private servedCount = 0
  private draining = false

  constructor (private readonly ports: RelayPorts) {}

  /** Number of connections that are relayed at the moment. */
  get size (): number {
    return this.open.size
  }

  /** Connections relayed since the start. */
  get served (): number {
    return this.servedCount
  }

  /** Handles `CONNECT <endpoint id>`. */
  accept ({ url, headers }: IncomingMessage, requester: Socket): void {
    requester.on('error', () => { /* `close` follows. */ })
    if (this.draining || this.ports.isCutOff() || this.open.size >= MAX_RELAYS) return respond(requester, RelayStatus.Unavailable)
    const address = this.ports.addressOf(decodeEndpoint(url ?? ''))
    if (address === null) return respond(requester, RelayStatus.UnknownEndpoint)
    // The address may come from a node whose build accepts any port.
    const socketAddress = parseSocketAddress(address)
    if (socketAddress === null) return respond(requester, RelayStatus.Unreached)
    this.open.add(requester)
    requester.on('close', () => { this.open.delete(requester) })
    this.dial(socketAddress, requester, headers[RELAY_ID_HEADER])
  }

  /**
   * Whether the endpoint closed a relayed connection in order. If this process is killed, the operating system closes the connections
   * to requesters in order as well, and nobody confirms that the endpoint did so.
   */
  endedInOrder (id: string): boolean {
    return this.orderlyEnds.has(id)
  }

  /** Accepts no new relays. Open ones continue until their nodes close them. */
  drain (): void {
    this.draining = true
  }

  close (): void {
    this.draining = true
    for (const socket of this.open) socket.destroy()
  }

  private rememberEnd (id: string): void {
    this.orderlyEnds.add(id)
    if (this.orderlyEnds.size <= MAX_REMEMBERED_ENDS) return
    const [oldest] = this.orderlyEnds
    this.orderlyEnds.delete(oldest!)
  }

  private dial (address: SocketAddress, requester: Socket, id: string | string[] | undefined): void {
    const endpoint = connect({ ...address, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS })
    const fail = (error?: NodeJS.ErrnoException): void => {
      endpoint.destroy()
      respond(requester, error?.code === 'ECONNREFUSED' ? RelayStatus.Refused : RelayStatus.Unreached)
    }
    const timer = setTimeout(fail, DIAL_TIMEOUT_MS)
    const abandon = (): void => { endpoint.destroy() }
    requester.once('close', abandon)
    endpoint.once('error', fail)
    endpoint.once('close', () => { clearTimeout(timer) })
    endpoint.once('connect', () => {
      clearTimeout(timer)
      endpoint.removeListener('error', fail)
      requester.removeListener('close', abandon)
      this.servedCount += 1
      requester.setNoDelay(true)
      requester.setKeepAlive(true, KEEP_ALIVE_DELAY_MS)
      requester.write(responseHead(RelayStatus.Connected))
      joinSockets(requester, endpoint, () => { if (typeof id === 'string') this.rememberEnd(id) })
    })
  }
}

/** The request target of a relay request. An id may contain characters that a request target may not. */
export function encodeEndpoint (endpoint: EndpointId): string {
  return encodeURIComponent(endpoint)
}

function decodeEndpoint (target: string): EndpointId {
  try {
    return decodeURIComponent(target)
  } catch {
    // No endpoint has this id.
    return target
  }
}

function responseHead (status: RelayStatus): string {
  return `HTTP/1.1 ${status} ${RelayStatus[status]}\r\n\r\n`
}

/** Responds and closes the connection. Nothing reads from it, so the requester's close would not be noticed. */
function respond (requester: Socket, status: RelayStatus): void {
  if (!requester.destroyed) requester.end(responseHead(status), () => { requester.destroy() })
}

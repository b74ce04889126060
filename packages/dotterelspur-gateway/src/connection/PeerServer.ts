import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { WebSocketServer, type WebSocket } from 'ws'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { ListenAddress } from '../process/GatewaySettings.js'
import { HEADERS_CHECK_MS } from './callerLimits.js'
import { RELAY_END_PATH } from './RelayServer.js'

const NO_CONTENT = 204
const NOT_FOUND = 404
const UPGRADE_REQUIRED = 426

export interface PeerServerListener {
  onLink (socket: WebSocket): void
  /** Another node asks this one to relay a connection to an endpoint. */
  onRelayRequest (request: IncomingMessage, socket: Socket): void
  /** Whether the endpoint closed a relayed connection in order. */
  endedInOrder (relayId: string): boolean
}

/** The server for other nodes: WebSocket links, and connections that this node relays to endpoints. */
export class PeerServer {
  private readonly http: Server
  private readonly links: WebSocketServer

  constructor (maxFrameBytes: number, listener: PeerServerListener, guard: ListenerGuard | null = null) {
    this.http = createServer({ connectionsCheckingInterval: HEADERS_CHECK_MS }, (request, response) => { respond(request, response, listener) })
    this.http.on('connect', (request: IncomingMessage, socket: Socket) => { listener.onRelayRequest(request, socket) })
    this.links = new WebSocketServer({ server: this.http, maxPayload: maxFrameBytes, perMessageDeflate: false })
    this.links.on('connection', (socket) => { listener.onLink(socket) })
    guard?.register(this.http)
  }

  async listen ({ host, port }: ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.links.once('error', reject)
      this.http.listen(port, host, resolve)
    })
  }

  close (): void {
    this.links.close()
    this.http.close()
    this.http.closeAllConnections()
  }
}

function respond ({ url = '' }: IncomingMessage, response: ServerResponse, listener: PeerServerListener): void {
  const status = statusFor(url, listener)
  response.writeHead(status, status === NO_CONTENT ? { connection: 'close' } : { 'content-length': 0, connection: 'close' }).end()
}

function statusFor (url: string, listener: PeerServerListener): number {
  if (!url.startsWith(RELAY_END_PATH)) return UPGRADE_REQUIRED
  return listener.endedInOrder(url.slice(RELAY_END_PATH.length)) ? NO_CONTENT : NOT_FOUND
}

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { WebSocketServer, type WebSocket } from 'ws'
import type { ListenAddress } from '../process/GatewaySettings.js'

const UPGRADE_REQUIRED = 426

export interface PeerServerListener {
  onLink (socket: WebSocket): void
  /** Another node asks this one to relay a connection to an endpoint. */
  onRelayRequest (request: IncomingMessage, socket: Socket): void
}

/** The server for other nodes: WebSocket links, and connections that this node relays to endpoints. */
export class PeerServer {
  private readonly http: Server
  private readonly links: WebSocketServer

  constructor (maxFrameBytes: number, listener: PeerServerListener) {
    this.http = createServer(rejectRequest)
    this.http.on('connect', (request: IncomingMessage, socket: Socket) => { listener.onRelayRequest(request, socket) })
    this.links = new WebSocketServer({ server: this.http, maxPayload: maxFrameBytes, perMessageDeflate: false })
    this.links.on('connection', (socket) => { listener.onLink(socket) })
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

function rejectRequest (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED, { 'content-length': 0, connection: 'close' }).end()
}

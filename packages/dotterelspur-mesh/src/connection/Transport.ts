import { createServer as createHttpServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { TLSSocket } from 'node:tls'
import { WebSocket, WebSocketServer } from 'ws'
import { type Clock, failed, type MemberRecord, type NodeId, type Result, success } from 'dotterelspur'
import { guardedConnection, type ListenerGuard } from 'dotterelspur-listener'
import { Connection, type ConnectionLimits, type ConnectionPurpose } from './Connection.js'
import { isNamedInCertificate, CredentialsKind, type MeshCredentials } from './Credentials.js'
import { type ExpectedPeer, type HandshakeContext, handshakeAsAcceptor, handshakeAsDialer, type Refusal, RefusalReason } from './Handshake.js'
import type { MeshMetrics } from './MeshMetrics.js'

const MESH_PATH = '/mesh'
const FORBIDDEN = 403
const UPGRADE_REQUIRED = 426
const UNAVAILABLE = 503

export interface TransportOptions {
  readonly listenHost: string
  readonly listenPort: number
  /** Local address of outgoing connections; undefined lets the operating system choose. */
  readonly localAddress: string | undefined
  readonly credentials: MeshCredentials
  readonly guard: ListenerGuard | null
  readonly clock: Clock
  readonly handshakeTimeoutMs: number
  readonly maxConnections: number
  readonly connectionLimits: ConnectionLimits
  readonly self: () => MemberRecord
  readonly metrics: MeshMetrics
  readonly onConnection: (connection: Connection) => void
}

/** Why this node could not listen. */
export interface ListenError {
  readonly reason: string
}

interface OpenedSocket {
  readonly socket: WebSocket
  readonly tls: TLSSocket | undefined
}

/** Opens and accepts authenticated connections. */
export class Transport {
  private server: Server | undefined
  private readonly sockets: WebSocketServer
  private readonly connections = new Set<WebSocket>()

  constructor (private readonly options: TransportOptions) {
    this.sockets = new WebSocketServer({ noServer: true, maxPayload: options.connectionLimits.maxFrameBytes, perMessageDeflate: false })
  }

  /** Starts listening and resolves to the port. */
  listen (): Promise<Result<number, ListenError>> {
    const server = this.createServer()
    this.server = server
    server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => this.onUpgrade(request, socket, head))
    this.options.guard?.register(server)
    server.on('tlsClientError', () => this.options.metrics.countRefused(RefusalReason.CertificateRejected))
    return new Promise((resolve) => {
      server.once('error', (error) => resolve(failed({ reason: error.message })))
      server.listen(this.options.listenPort, this.options.listenHost, () => resolve(success((server.address() as AddressInfo).port)))
    })
  }

  /** Connects to a peer. If it is refused, no frame was sent. */
  async dial (address: string, expected: ExpectedPeer, purpose: ConnectionPurpose): Promise<Result<Connection, Refusal>> {
    const { metrics } = this.options
    const opened = await this.openSocket(address)
    if (!opened.ok) {
      metrics.countRefused(opened.error.reason)
      return opened
    }
    const { socket, tls } = opened.value
    const handshake = await handshakeAsDialer(socket, purpose, expected, this.handshakeContext(tls))
    if (!handshake.ok) {
      metrics.countRefused(handshake.error.reason)
      return handshake
    }
    metrics.countHandshake()
    return success(new Connection(socket, handshake.value.peer, purpose, true, metrics, this.options.connectionLimits, handshake.value.earlyMessages))
  }

  async close (): Promise<void> {
    for (const socket of this.connections) socket.terminate()
    const server = this.server
    if (server === undefined) return
    server.closeAllConnections()
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
  }

  private createServer (): Server {
    const { credentials } = this.options
    if (credentials.kind === CredentialsKind.SharedKey) return createHttpServer(refusePlainRequest)
    // Certificates are checked at the upgrade instead of in the TLS handshake, so that the response can state the reason.
    return createHttpsServer({ cert: credentials.certificate, key: credentials.privateKey, ca: credentials.authority, requestCert: true, rejectUnauthorized: false }, refusePlainRequest)
  }

  private onUpgrade (request: IncomingMessage, socket: Socket, head: Buffer): void {
    socket.on('error', () => {})
    const { credentials, maxConnections } = this.options
    const tls = credentials.kind === CredentialsKind.MutualTls ? (guardedConnection(socket)?.raw ?? socket) as TLSSocket : undefined
    if (tls !== undefined && !tls.authorized) return this.reject(socket, FORBIDDEN, RefusalReason.CertificateRejected, String(tls.authorizationError))
    if (this.connections.size >= maxConnections) return this.reject(socket, UNAVAILABLE, RefusalReason.TooManyConnections, `${maxConnections} connections are open`)
    this.sockets.handleUpgrade(request, socket, head, (webSocket) => {
      this.track(webSocket)
      this.accept(webSocket, tls).catch(() => webSocket.terminate())
    })
  }

  private reject (socket: Socket, status: number, reason: RefusalReason, detail: string): void {
    this.options.metrics.countRefused(reason)
    const body = `${reason}: ${detail}`
    socket.end(`HTTP/1.1 ${status} Refused\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  }

  private async accept (socket: WebSocket, tls: TLSSocket | undefined): Promise<void> {
    const handshake = await handshakeAsAcceptor(socket, this.handshakeContext(tls))
    if (!handshake.ok) {
      this.options.metrics.countRefused(handshake.error.reason)
      return
    }
    this.options.metrics.countHandshake()
    const { peer, purpose, earlyMessages } = handshake.value
    this.options.onConnection(new Connection(socket, peer, purpose, false, this.options.metrics, this.options.connectionLimits, earlyMessages))
  }

  private handshakeContext (tls: TLSSocket | undefined): HandshakeContext {
    const { self, credentials, clock, handshakeTimeoutMs } = this.options
    const isCertifiedAs = (node: NodeId): boolean => tls === undefined || isNamedInCertificate(tls.getPeerCertificate(), node)
    return { self, credentials, clock, timeoutMs: handshakeTimeoutMs, isCertifiedAs }
  }

  /** The library throws for an address that is none. */
  private async openSocket (address: string): Promise<Result<OpenedSocket, Refusal>> {
    try {
      return await this.connect(address)
    } catch (error) {
      return failed(refusalFromError(error as Error))
    }
  }

  private connect (address: string): Promise<Result<OpenedSocket, Refusal>> {
    const { credentials, localAddress, handshakeTimeoutMs } = this.options
    const secure = credentials.kind === CredentialsKind.MutualTls
    const identity = secure
      // Peers are dialed by IP address, so the mesh handshake checks the certificate against the node that the peer claims to be.
      ? { cert: credentials.certificate, key: credentials.privateKey, ca: credentials.authority, checkServerIdentity: () => undefined }
      : {}
    const socket = new WebSocket(`${secure ? 'wss' : 'ws'}://${address}${MESH_PATH}`, {
      ...identity, localAddress, handshakeTimeout: handshakeTimeoutMs, maxPayload: this.options.connectionLimits.maxFrameBytes, perMessageDeflate: false
    })
    this.track(socket)
    return new Promise((resolve) => {
      let tls: TLSSocket | undefined
      socket.once('upgrade', (response) => { tls = secure ? response.socket as TLSSocket : undefined })
      socket.once('open', () => resolve(success({ socket, tls })))
      socket.once('error', (error) => resolve(failed(refusalFromError(error))))
      socket.once('unexpected-response', (_request, response) => {
        readBody(response, (body) => {
          resolve(failed(refusalFromBody(body)))
          socket.terminate()
        })
      })
    })
  }

  private track (socket: WebSocket): void {
    this.connections.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.connections.delete(socket))
  }
}

const CERTIFICATE_ERRORS = /CERT|SELF_SIGNED|UNABLE_TO_VERIFY/

function refusalFromError (error: Error & { readonly code?: string }): Refusal {
  const reason = CERTIFICATE_ERRORS.test(error.code ?? '') ? RefusalReason.CertificateRejected : RefusalReason.Unreachable
  return { reason, detail: error.code ?? error.message }
}

function refusalFromBody (body: string): Refusal {
  const [reason, detail] = body.split(': ')
  const knownReason = Object.values(RefusalReason).find((value) => value === reason)
  return { reason: knownReason ?? RefusalReason.Unreachable, detail: detail ?? body }
}

const MAX_BODY_LENGTH = 1024

function readBody (response: IncomingMessage, done: (body: string) => void): void {
  let body = ''
  response.setEncoding('utf8')
  response.on('data', (chunk: string) => { body = (body + chunk).slice(0, MAX_BODY_LENGTH) })
  response.on('end', () => done(body))
  response.on('error', () => done(body))
}

/** Only upgrades are served: other requests would never be answered. */
function refusePlainRequest (_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(UPGRADE_REQUIRED, { 'content-length': 0, connection: 'close' }).end()
}

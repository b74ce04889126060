import { randomUUID } from 'node:crypto'
import { connect, type Socket } from 'node:net'
import { request } from 'undici'
import type { EndpointId, NodeId } from 'dotterelspur'
import { encodeEndpoint, RELAY_END_PATH, RELAY_ID_HEADER, RelayStatus } from './RelayServer.js'

/** The response to a relay request has no headers; more bytes than this are something else. */
const MAX_HEAD_BYTES = 512
const HEAD_END = '\r\n\r\n'
const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) /
const KEEP_ALIVE_DELAY_MS = 5_000
/** A live node responds within a few milliseconds. */
const END_TIMEOUT_MS = 300
const NO_CONTENT = 204

/** A relay's response other than a connection. */
export class RelayRefusal extends Error {
  constructor (peers: string, readonly status: number) {
    super(`relay at ${peers} responded ${status}`)
  }
}

/** A node that may relay connections. */
export interface RelayAddress {
  readonly node: NodeId
  /** Its address for other nodes. */
  readonly peers: string
}

/** The path of a relayed connection. */
export interface RelayPath {
  readonly node: NodeId
  /** Whether the relay confirms that the endpoint, and not the relay itself, closed the connection, and in order. */
  endedInOrder (): Promise<boolean>
}

export interface RelayedSocket {
  readonly socket: Socket
  readonly relay: RelayPath
}

/**
 * Connects to an endpoint through another node.
 * @returns a socket on which the next bytes are the endpoint's. Rejects with an error that names the status, or after `timeoutMs`;
 * nodes of a release that doesn't relay close the connection.
 */
export async function dialRelay ({ node, peers }: RelayAddress, endpoint: EndpointId, timeoutMs: number): Promise<RelayedSocket> {
  const at = peers.lastIndexOf(':')
  const socket = connect({ host: peers.slice(0, at), port: Number(peers.slice(at + 1)), noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS })
  const target = encodeEndpoint(endpoint)
  const id = randomUUID()
  socket.write(`CONNECT ${target} HTTP/1.1\r\nHost: ${target}\r\n${RELAY_ID_HEADER}: ${id}\r\n\r\n`)
  try {
    const status = await readStatus(socket, timeoutMs)
    if (status !== RelayStatus.Connected) throw new RelayRefusal(peers, status)
    return { socket, relay: { node, endedInOrder: async () => await confirmEnd(peers, id) } }
  } catch (error) {
    socket.destroy()
    throw error
  }
}

async function confirmEnd (peers: string, id: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${peers}${RELAY_END_PATH}${id}`, { signal: AbortSignal.timeout(END_TIMEOUT_MS) })
    await body.dump()
    return statusCode === NO_CONTENT
  } catch {
    // The relay is gone, and its end closed the connection.
    return false
  }
}

/** Reads the response head. Nothing follows it before the endpoint has received a request. */
async function readStatus (socket: Socket, timeoutMs: number): Promise<number> {
  let head = ''
  let onData = (_bytes: Buffer): void => {}
  let onError = (_error: Error): void => {}
  let onClose = (): void => {}
  let timer: NodeJS.Timeout | null = null
  try {
    return await new Promise<number>((resolve, reject) => {
      timer = setTimeout(() => { reject(new Error(`no relay within ${timeoutMs} ms`)) }, timeoutMs)
      onData = (bytes) => {
        head += bytes.toString('latin1')
        if (head.endsWith(HEAD_END) || head.length > MAX_HEAD_BYTES) resolve(Number(STATUS_LINE.exec(head)?.[1] ?? NaN))
      }
      onError = reject
      onClose = () => { reject(new Error('relay closed the connection')) }
      socket.on('data', onData)
      socket.on('error', onError)
      socket.on('close', onClose)
    })
  } finally {
    if (timer !== null) clearTimeout(timer)
    socket.pause()
    socket.removeListener('data', onData)
    socket.removeListener('error', onError)
    socket.removeListener('close', onClose)
    // Errors between two owners of the socket are followed by `close`.
    socket.on('error', () => {})
  }
}

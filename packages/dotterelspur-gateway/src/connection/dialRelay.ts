import { connect, type Socket } from 'node:net'
import type { EndpointId } from 'dotterelspur'
import { encodeEndpoint, RelayStatus } from './RelayServer.js'

/** The response to a relay request has no headers; more bytes than this are something else. */
const MAX_HEAD_BYTES = 512
const HEAD_END = '\r\n\r\n'
const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) /
const KEEP_ALIVE_DELAY_MS = 5_000

/**
 * Connects to an endpoint through another node.
 * @param peers the address at which the node listens for other nodes.
 * @returns the socket, on which the next bytes are the endpoint's. Rejects with an error that names the status, or after `timeoutMs`;
 * nodes of a release that doesn't relay close the connection.
 */
export async function dialRelay (peers: string, endpoint: EndpointId, timeoutMs: number): Promise<Socket> {
  const at = peers.lastIndexOf(':')
  const socket = connect({ host: peers.slice(0, at), port: Number(peers.slice(at + 1)), noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS })
  const target = encodeEndpoint(endpoint)
  socket.write(`CONNECT ${target} HTTP/1.1\r\nHost: ${target}\r\n\r\n`)
  try {
    const status = await readStatus(socket, timeoutMs)
    if (status !== RelayStatus.Connected) throw new Error(`relay at ${peers} responded ${status}`)
    return socket
  } catch (error) {
    socket.destroy()
    throw error
  }
}

/** Reads the response head. Nothing follows it before the endpoint has received a request. */
async function readStatus (socket: Socket, timeoutMs: number): Promise<number | null> {
  let head = ''
  let onData = (_bytes: Buffer): void => {}
  let onError = (_error: Error): void => {}
  let onClose = (): void => {}
  let timer: NodeJS.Timeout | null = null
  try {
    return await new Promise<number | null>((resolve, reject) => {
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

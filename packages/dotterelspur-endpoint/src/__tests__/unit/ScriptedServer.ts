import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** What a scripted endpoint does with a connection once it has received a whole request. */
export type Script = (socket: Socket, request: string) => void

export interface ScriptedServer {
  readonly address: string
  /** Whole requests that were received. */
  readonly requests: string[]
  /** Connections that the other side closed or that broke. */
  closedConnections (): number
  stop (): Promise<void>
}

function isWhole (received: string): boolean {
  const headEnd = received.indexOf('\r\n\r\n')
  if (headEnd === -1) return false
  const length = /content-length: (\d+)/i.exec(received.slice(0, headEnd))
  return received.length >= headEnd + 4 + Number(length?.[1] ?? 0)
}

/** An endpoint that answers with exactly the bytes of a script, so that broken answers can be made. */
export async function startScriptedServer (script: Script): Promise<ScriptedServer> {
  const requests: string[] = []
  const sockets = new Set<Socket>()
  let closed = 0
  const server = createServer((socket) => {
    let received = ''
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { closed += 1; sockets.delete(socket) })
    socket.on('data', (part) => {
      received += part.toString('latin1')
      if (!isWhole(received)) return
      requests.push(received)
      const request = received
      received = ''
      script(socket, request)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    closedConnections: () => closed,
    stop: () => new Promise((resolve) => {
      server.close(() => { resolve() })
      for (const socket of sockets) socket.destroy()
    })
  }
}

/** A whole response with a length. */
export function response (status: number, type: string, body: string): string {
  return `HTTP/1.1 ${status} X\r\ncontent-type: ${type}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** The head of a chunked response. */
export function chunkedHead (type = 'application/x-ndjson'): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\ntransfer-encoding: chunked\r\n\r\n`
}

/** One part of a chunked response. */
export function part (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

export const LAST_PART = '0\r\n\r\n'

import { connect } from 'node:net'

/** A live endpoint, and the machine of a terminated one, respond within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 150

/**
 * Whether no process listens at an address (`ip:port`). A broken connection may have been reset or cut while its
 * endpoint is alive, which is no evidence about the request on it; a terminated endpoint refuses new connections. A
 * time-out proves neither and counts as false.
 */
export async function refusesConnections (address: string): Promise<boolean> {
  const at = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, at), port: Number(address.slice(at + 1)) })
  const timer = setTimeout(() => { socket.destroy() }, CONNECT_TIMEOUT_MS)
  return await new Promise<boolean>((resolve) => {
    let refused = false
    socket.on('connect', () => { socket.destroy() })
    socket.on('error', ({ code }: NodeJS.ErrnoException) => { refused = code === 'ECONNREFUSED' })
    socket.on('close', () => {
      clearTimeout(timer)
      resolve(refused)
    })
  })
}

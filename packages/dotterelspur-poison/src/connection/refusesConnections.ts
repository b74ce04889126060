import { connect } from 'node:net'

/** A living endpoint, and the machine of one that has ended, answer within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 150

/**
 * Whether nobody listens at an address (`ip:port`). A connection that broke off may have been reset or cut with its endpoint
 * alive, which says nothing about the request on it; an endpoint that has ended refuses new ones. Silence shows neither, and
 * counts as false.
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

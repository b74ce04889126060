import { connect, type Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Idle time of a connection after which the operating system sends TCP keep-alive probes. */
const KEEP_ALIVE_DELAY_MS = 5_000

/**
 * Creates a connector for undici with an exact timeout. undici's own connector checks its timeouts only every half second, and a
 * request that is aborted while its connection is being established waits for that check: a status request to a dead endpoint
 * that should end after 0.25 s took 1 s, which delayed the repair of a group by as much.
 */
export function connectWithin (timeoutMs: number, onConnected: (socket: Socket) => void = () => {}): buildConnector.connector {
  return (options, callback) => {
    const socket = connect({ host: options.hostname, port: Number(options.port), noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS })
    const timer = setTimeout(() => { socket.destroy(new Error(`no connection within ${timeoutMs} ms`)) }, timeoutMs)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      callback(error, null)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.removeListener('error', fail)
      onConnected(socket)
      callback(null, socket)
    })
  }
}

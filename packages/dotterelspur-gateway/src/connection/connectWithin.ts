import { connect, type Socket } from 'node:net'
import type { buildConnector } from 'undici'

/** Unused connections are asked by the system whether their peer lives, from this time on. */
const KEEP_ALIVE_DELAY_MS = 5_000

/**
 * Makes a connector for the client library that gives up when it says. The library's own looks at its connections
 * every half second only, and a request that is aborted while its connection is still being made waits for that: a
 * question to a dead endpoint that should end after 0.25 s took 1 s, and the repair of a group began as much later.
 */
export function connectWithin (timeoutMs: number, onConnected: (socket: Socket) => void = () => {}): buildConnector.connector {
  return (options, callback) => {
    const socket = connect({ host: options.hostname, port: Number(options.port), noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS })
    const timer = setTimeout(() => { socket.destroy(new Error('no connection in time')) }, timeoutMs)
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

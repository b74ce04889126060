import type { Clock } from 'dotterelspur'
import type { Connection } from '../connection/Connection.js'
import type { CallClient } from './CallClient.js'
import { type CallLimits, KEEP_ALIVE_MISSES } from './CallLimits.js'
import type { CallServer } from './CallServer.js'

/**
 * Pings the connections for calls, which carry nothing while a call computes. A peer that vanished without a
 * word would otherwise hold its callers until the system's own timeout, which is minutes.
 */
export class KeepAlive {
  private readonly served = new Map<Connection, number>()
  private nextPingAtMs = 0
  private lastTickMs = 0

  constructor (private readonly client: CallClient, private readonly limits: CallLimits) {}

  /** Lets the server take calls from a connection, and watches it. */
  serve (server: CallServer, connection: Connection, clock: Clock): void {
    const alive = (): void => { this.served.set(connection, clock.nowMs()) }
    alive()
    connection.setAliveListener(alive)
    server.attach(connection, alive, () => { this.served.delete(connection) })
  }

  tick (nowMs: number): void {
    // After a pause of this process, signs of life wait unread: silence during it proves nothing.
    if (nowMs - this.lastTickMs >= this.limits.keepAliveMs) this.restart(nowMs)
    this.lastTickMs = nowMs
    this.client.tick(nowMs)
    if (nowMs < this.nextPingAtMs) return
    this.nextPingAtMs = nowMs + this.limits.keepAliveMs
    this.client.ping()
    for (const [connection, aliveAtMs] of this.served) {
      if (nowMs - aliveAtMs >= KEEP_ALIVE_MISSES * this.limits.keepAliveMs) connection.terminate('silent')
    }
  }

  private restart (nowMs: number): void {
    this.client.restartSilence(nowMs)
    for (const connection of this.served.keys()) this.served.set(connection, nowMs)
  }
}

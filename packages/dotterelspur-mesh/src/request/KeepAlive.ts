import type { Clock } from 'dotterelspur'
import type { Connection } from '../connection/Connection.js'
import type { CallClient } from './CallClient.js'
import { type CallLimits, MAX_MISSED_KEEP_ALIVES } from './CallLimits.js'
import type { CallServer } from './CallServer.js'

/**
 * Pings the connections for calls, which carry no frames while a handler computes. If a peer disappeared without
 * closing its connection, callers would otherwise wait for the operating system's timeout, which is minutes.
 */
export class KeepAlive {
  private readonly lastActivityAtMs = new Map<Connection, number>()
  private nextPingAtMs = 0
  private lastTickMs = 0

  constructor (private readonly client: CallClient, private readonly limits: CallLimits) {}

  /** Lets the server serve the calls of a connection, and monitors it. */
  serve (server: CallServer, connection: Connection, clock: Clock): void {
    const noteActivity = (): void => { this.lastActivityAtMs.set(connection, clock.nowMs()) }
    noteActivity()
    connection.setActivityListener(noteActivity)
    server.attach(connection, noteActivity, () => { this.lastActivityAtMs.delete(connection) })
  }

  tick (nowMs: number): void {
    // After a pause of this process, received pongs may still be unread, so silence during the pause is no sign of failure.
    if (nowMs - this.lastTickMs >= this.limits.keepAliveIntervalMs) this.resetActivity(nowMs)
    this.lastTickMs = nowMs
    this.client.tick(nowMs)
    if (nowMs < this.nextPingAtMs) return
    this.nextPingAtMs = nowMs + this.limits.keepAliveIntervalMs
    this.client.ping()
    for (const [connection, activityAtMs] of this.lastActivityAtMs) {
      if (nowMs - activityAtMs >= MAX_MISSED_KEEP_ALIVES * this.limits.keepAliveIntervalMs) connection.terminate('silent')
    }
  }

  private resetActivity (nowMs: number): void {
    this.client.resetActivity(nowMs)
    for (const connection of this.lastActivityAtMs.keys()) this.lastActivityAtMs.set(connection, nowMs)
  }
}

import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

const CONNECTED = 'undici:client:connected'

/** Counts the bytes that undici's connections of this process carry, HTTP's own included, TCP's and IP's not. */
export class SocketMeter {
  private readonly sockets = new Set<Socket>()
  private readonly onConnected = (message: unknown): void => { this.sockets.add((message as { socket: Socket }).socket) }

  start (): void {
    subscribe(CONNECTED, this.onConnected)
  }

  stop (): void {
    unsubscribe(CONNECTED, this.onConnected)
  }

  get sentBytes (): number {
    return [...this.sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0)
  }

  get receivedBytes (): number {
    return [...this.sockets].reduce((sum, socket) => sum + socket.bytesRead, 0)
  }
}

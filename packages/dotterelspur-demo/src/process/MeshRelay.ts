import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

interface RelayTarget {
  readonly host: string
  readonly port: number
}

interface RelayedConnection {
  readonly source: string
  readonly target: string
  readonly sockets: readonly Socket[]
}

/**
 * Relays connections between nodes. Peers connect to a node at an address of the relay, which recognizes nodes by their
 * loopback addresses, so that a node can be isolated from its peers while callers and endpoints still reach it.
 */
export class MeshRelay {
  private readonly servers: Server[] = []
  private readonly connections = new Set<RelayedConnection>()
  private readonly isolated = new Set<string>()

  /** Opens a listener on `listenHost` in front of a node; returns the address for its peers. */
  async open (listenHost: string, target: RelayTarget): Promise<string> {
    const server = createServer((incoming) => { this.accept(incoming, target) })
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, listenHost, resolve)
    })
    return `${listenHost}:${(server.address() as AddressInfo).port}`
  }

  /** Closes all connections from and to a node, and rejects new ones until it is restored. */
  isolate (host: string): void {
    this.isolated.add(host)
    for (const connection of [...this.connections]) {
      if (connection.source === host || connection.target === host) this.cut(connection)
    }
  }

  restore (host: string): void {
    this.isolated.delete(host)
  }

  close (): void {
    for (const server of this.servers) server.close()
    for (const connection of [...this.connections]) this.cut(connection)
  }

  private accept (incoming: Socket, target: RelayTarget): void {
    const source = incoming.remoteAddress ?? ''
    if (this.isolated.has(source) || this.isolated.has(target.host)) {
      incoming.destroy()
      return
    }
    const outgoing = connect(target.port, target.host)
    const connection: RelayedConnection = { source, target: target.host, sockets: [incoming, outgoing] }
    this.connections.add(connection)
    for (const socket of connection.sockets) {
      socket.setNoDelay(true)
      socket.on('error', () => { this.cut(connection) })
      socket.on('close', () => { this.cut(connection) })
    }
    incoming.pipe(outgoing)
    outgoing.pipe(incoming)
  }

  private cut (connection: RelayedConnection): void {
    if (!this.connections.delete(connection)) return
    for (const socket of connection.sockets) socket.destroy()
  }
}

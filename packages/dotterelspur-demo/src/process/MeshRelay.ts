import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

interface RelayTarget {
  readonly host: string
  readonly port: number
}

interface RelayPath {
  readonly source: string
  readonly target: string
  readonly sockets: readonly Socket[]
}

/**
 * Carries the nodes' links to each other. Each node is reached at an address of the relay, and nodes are told
 * apart by their own loopback addresses, so that one can be cut off from its peers while callers and endpoints
 * still reach it.
 */
export class MeshRelay {
  private readonly servers: Server[] = []
  private readonly paths = new Set<RelayPath>()
  private readonly isolated = new Set<string>()

  /** Opens a listener on `listenHost` before a node; returns the address for its peers. */
  async open (listenHost: string, target: RelayTarget): Promise<string> {
    const server = createServer((incoming) => { this.carry(incoming, target) })
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, listenHost, resolve)
    })
    return `${listenHost}:${(server.address() as AddressInfo).port}`
  }

  /** Cuts every link from and to a node, and lets none be made. */
  isolate (host: string): void {
    this.isolated.add(host)
    for (const path of [...this.paths]) {
      if (path.source === host || path.target === host) this.cut(path)
    }
  }

  restore (host: string): void {
    this.isolated.delete(host)
  }

  close (): void {
    for (const server of this.servers) server.close()
    for (const path of [...this.paths]) this.cut(path)
  }

  private carry (incoming: Socket, target: RelayTarget): void {
    const source = incoming.remoteAddress ?? ''
    if (this.isolated.has(source) || this.isolated.has(target.host)) {
      incoming.destroy()
      return
    }
    const outgoing = connect(target.port, target.host)
    const path: RelayPath = { source, target: target.host, sockets: [incoming, outgoing] }
    this.paths.add(path)
    for (const socket of path.sockets) {
      socket.setNoDelay(true)
      socket.on('error', () => { this.cut(path) })
      socket.on('close', () => { this.cut(path) })
    }
    incoming.pipe(outgoing)
    outgoing.pipe(incoming)
  }

  private cut (path: RelayPath): void {
    if (!this.paths.delete(path)) return
    for (const socket of path.sockets) socket.destroy()
  }
}

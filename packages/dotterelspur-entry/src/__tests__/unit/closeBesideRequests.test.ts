import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { TOKENS, startHarness, type Harness, type HarnessNode } from '../fixtures/harness.js'

const CONNECTIONS = 50
const REQUEST = `GET /v1/entries HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${TOKENS.tradeline}\r\n\r\n`

/** A caller's connection that has been used for one request. */
class UsedConnection {
  private received = ''
  private error: string | null = null
  private readonly closed: Promise<unknown>

  private constructor (private readonly socket: Socket) {
    socket.on('data', (bytes) => { this.received += bytes.toString() })
    socket.on('error', ({ message }) => { this.error = message })
    this.closed = once(socket, 'close').catch(() => {})
  }

  static async open ({ url }: HarnessNode): Promise<UsedConnection> {
    const { hostname, port } = new URL(url)
    const connection = new UsedConnection(connect(Number(port), hostname))
    connection.send()
    while (!connection.received.endsWith('}')) await once(connection.socket, 'data')
    connection.received = ''
    return connection
  }

  send (): void {
    this.socket.write(REQUEST)
  }

  /** The status line of the last response, or what ended the connection without one. */
  async outcome (): Promise<string> {
    await this.closed
    return this.received.split('\r\n', 1)[0] || (this.error ?? 'closed without a response')
  }
}

describe('Entry.close', () => {
  let harness: Harness

  beforeEach(async () => { harness = await startHarness() })

  afterEach(() => harness.stop())

  // Guards against connections reset while a request on them has been sent and not been read: the caller can't know whether it ran.
  it('answers requests that were sent before it closes idle connections', async () => {
    const [node] = harness.nodes
    const connections = await Promise.all(Array.from({ length: CONNECTIONS }, () => UsedConnection.open(node!)))
    node!.entry.beginDrain()
    const closed = node!.entry.close()
    for (const connection of connections) connection.send()
    const outcomes = await Promise.all(connections.map((connection) => connection.outcome()))
    await closed
    expect(outcomes.filter((outcome) => !outcome.startsWith('HTTP/1.1'))).to.deep.equal([])
  })
})

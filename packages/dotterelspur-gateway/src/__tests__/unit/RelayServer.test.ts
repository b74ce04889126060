import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { WebSocketServer } from 'ws'
import { ExchangeEnd } from 'dotterelspur'
import { dialRelay } from '../../connection/dialRelay.js'
import { EndpointChannel } from '../../connection/EndpointChannel.js'
import { PeerServer } from '../../connection/PeerServer.js'
import { RelayServer } from '../../connection/RelayServer.js'
import type { WireFormat } from '../../process/GatewayPorts.js'
import { EndpointCall, type BufferedResponse } from '../../request/EndpointCall.js'
import { ResponseMemory } from '../../request/ResponseMemory.js'

const TIMEOUT_MS = 2_000
const POLL_MS = 5
const ENDPOINT = 'w1 @ 17'
/** Head of a response that ends with its connection. */
const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'

const wire: Pick<WireFormat, 'readResponseHeaders'> = {
  readResponseHeaders: () => ({ requestId: 'r1', notExecuted: false, load: null, lostMember: null, backpressure: null })
}

interface CallResult {
  readonly end: ExchangeEnd
  readonly bytes: number
}

describe('RelayServer', () => {
  let endpoint: Server
  let accepted: Socket[]
  let respond: (socket: Socket) => void
  let relays: RelayServer
  let peers: PeerServer
  let address: string
  let cutOff: boolean
  let requesters: Socket[]

  beforeEach(async () => {
    accepted = []
    requesters = []
    cutOff = false
    respond = (socket) => { socket.write('answer') }
    endpoint = createServer((socket) => {
      accepted.push(socket)
      socket.on('error', () => { /* The relay resets connections. */ })
      socket.once('data', () => { respond(socket) })
    })
    await new Promise<void>((resolve) => { endpoint.listen(0, '127.0.0.1', resolve) })
    const endpointAddress = `127.0.0.1:${(endpoint.address() as AddressInfo).port}`
    const known = new Map([[ENDPOINT, endpointAddress], ['down', '127.0.0.1:9'], ['odd', '127.0.0.1:70000']])
    relays = new RelayServer({ addressOf: (id) => known.get(id) ?? null, isCutOff: () => cutOff })
    peers = new PeerServer(1_000, {
      onLink: () => {},
      onRelayRequest: (request, socket) => {
        requesters.push(socket)
        relays.accept(request, socket)
      },
      endedInOrder: (id) => relays.endedInOrder(id)
    })
    address = await listen(peers)
  })

  afterEach(() => {
    relays.close()
    peers.close()
    endpoint.close()
    for (const socket of accepted) socket.destroy()
  })

  async function listen (server: PeerServer): Promise<string> {
    const free = createServer()
    await new Promise<void>((resolve) => { free.listen(0, '127.0.0.1', resolve) })
    const { port } = free.address() as AddressInfo
    await new Promise((resolve) => { free.close(resolve) })
    await server.listen({ host: '127.0.0.1', port })
    return `127.0.0.1:${port}`
  }

  /** One exchange on a relayed channel, with a response that ends with its connection. */
  async function exchange (): Promise<CallResult> {
    const channel = new EndpointChannel('http://endpoint', (onConnected) => (_options, callback) => {
      dialRelay({ node: 'n2', peers: address }, ENDPOINT, TIMEOUT_MS).then(({ socket, relay }) => {
        onConnected(socket, relay)
        callback(null, socket)
      }, (error: Error) => { callback(error, null) })
    })
    const result = await new Promise<CallResult>((resolve) => {
      const onEnd = (end: ExchangeEnd, buffered: BufferedResponse | null): void => { resolve({ end, bytes: buffered?.body.length ?? 0 }) }
      channel.dispatch({ path: '/', method: 'GET' }, new EndpointCall({ requestId: 'r1', method: 'GET', wire: wire as WireFormat, channel, memory: new ResponseMemory(), sink: null, onHead: () => {}, onEnd }))
    })
    channel.destroy()
    return result
  }

  /** Closes the connections to requesting nodes as the operating system does when the relay's process is killed. */
  function endRequesters (): void {
    for (const socket of requesters) socket.destroy()
  }

  async function untilClosed (): Promise<void> {
    while (relays.size > 0) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }

  async function refusal (endpointId: string): Promise<string> {
    return await dialRelay({ node: 'n2', peers: address }, endpointId, TIMEOUT_MS).then(() => 'connected', (error: Error) => error.message)
  }

  it('forwards bytes and an orderly close', async () => {
    respond = (socket) => { socket.end(HEAD + 'x'.repeat(300_000)) }
    expect(await exchange()).to.deep.equal({ end: ExchangeEnd.Answered, bytes: 300_000 })
    await untilClosed()
    expect(relays.served).to.equal(1)
  })

  // Guards against a truncated response without stated length that is taken for a complete one: the relay turns a reset into a close.
  it('passes on a reset', async () => {
    respond = (socket) => { socket.write(`${HEAD}half`, () => { setTimeout(() => { socket.resetAndDestroy() }, 30) }) }
    expect((await exchange()).end).to.equal(ExchangeEnd.BrokenOff)
  })

  it('passes on a reset that arrives together with the last bytes', async () => {
    respond = (socket) => {
      socket.write(`${HEAD}half`)
      socket.resetAndDestroy()
    }
    expect((await exchange()).end).to.equal(ExchangeEnd.BrokenOff)
  })

  // Guards against a truncated stream that is taken for a complete one: the operating system closes the connections of a relay that is killed.
  it('is not taken for the endpoint when it is killed: its close ends no response', async () => {
    respond = (socket) => { socket.write(`${HEAD}half`, () => { setTimeout(() => { endRequesters() }, 30) }) }
    expect((await exchange()).end).to.equal(ExchangeEnd.BrokenOff)
  })

  // Guards against an endpoint that goes on with a request whose caller has left.
  it('closes the connection to the endpoint when the requester closes its own', async () => {
    const { socket } = await dialRelay({ node: 'n2', peers: address }, ENDPOINT, TIMEOUT_MS)
    const closed = new Promise<void>((resolve) => { respond = (far) => { far.on('close', () => { resolve() }) } })
    socket.write('request', () => { setTimeout(() => { socket.destroy() }, 30) })
    await closed
  })

  it('reports that it does not reach the endpoint either', async () => {
    expect(await refusal('down')).to.match(/410/)
    await untilClosed()
  })

  // Guards against an open proxy: only endpoints of the list are reached.
  it('refuses endpoints that it does not know', async () => {
    expect(await refusal('127.0.0.1:9')).to.match(/404/)
    expect(await refusal('%')).to.match(/404/)
  })

  // Guards against an exception of the socket outside the request, after which the requester waits in vain and its place stays taken.
  it('reports that it does not reach an address to which no connection can be opened', async () => {
    expect(await refusal('odd')).to.match(/502/)
    await untilClosed()
    expect(relays.size).to.equal(0)
  })

  it('refuses while it is cut off itself, and when it stops', async () => {
    cutOff = true
    expect(await refusal(ENDPOINT)).to.match(/503/)
    cutOff = false
    relays.drain()
    expect(await refusal(ENDPOINT)).to.match(/503/)
  })

  // Guards against connections that wait for a node of the former release, which does not relay.
  it('is told at once by a node that does not relay', async () => {
    const former = new WebSocketServer({ host: '127.0.0.1', port: 0 })
    await new Promise((resolve) => { former.on('listening', resolve) })
    address = `127.0.0.1:${(former.address() as AddressInfo).port}`
    expect(await refusal(ENDPOINT)).to.equal('relay closed the connection')
    former.close()
  })
})

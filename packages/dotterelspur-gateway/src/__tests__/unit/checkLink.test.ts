import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { createRandom, LinkState } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { EndpointConnector } from '../../connection/EndpointConnector.js'
import { PeerServer } from '../../connection/PeerServer.js'
import { RelayServer } from '../../connection/RelayServer.js'
import { SocketPolls } from '../../connection/SocketPolls.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'

const ENDPOINT = 'w1'

describe('EndpointConnector.checkLink', () => {
  let silent: Server
  let accepted: Socket[]
  let silentAddress: string
  let closedAddress: string
  let peers: PeerServer
  let relays: RelayServer
  let relayAddress: string

  beforeEach(async () => {
    accepted = []
    silent = createServer((socket) => {
      accepted.push(socket)
      socket.on('error', () => { /* Checks reset their connections. */ })
    })
    await new Promise<void>((resolve) => { silent.listen(0, '127.0.0.1', resolve) })
    silentAddress = addressOf(silent)
    closedAddress = await findClosedAddress()
    relayAddress = await findClosedAddress()
    relays = new RelayServer({ addressOf: (endpoint) => endpoint === ENDPOINT ? silentAddress : null, isCutOff: () => false })
    peers = new PeerServer(1_000, { onLink: () => {}, onRelayRequest: (request, socket) => { relays.accept(request, socket) }, endedInOrder: () => true })
    const [host, port] = relayAddress.split(':')
    await peers.listen({ host: host!, port: Number(port) })
  })

  afterEach(() => {
    relays.close()
    peers.close()
    silent.close()
    for (const socket of accepted) socket.destroy()
  })

  function addressOf (server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  async function findClosedAddress (): Promise<string> {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = addressOf(server)
    await new Promise((resolve) => { server.close(resolve) })
    return address
  }

  /** Checks the link to an endpoint; `relayed` by one other node, which reaches the endpoint that is silent. */
  async function check (address: string, relayed: boolean, listed = true): Promise<LinkState> {
    const clock = new SystemClock()
    const connector = new EndpointConnector({
      clock,
      log: createLog(clock),
      random: createRandom(1),
      node: 'n1',
      failureDomain: 'a',
      relays: () => relayed ? [{ node: 'n2', peers: relayAddress, failureDomain: 'a' }] : [],
      endpointOf: (endpoint) => listed ? createEndpoint(endpoint, address) : undefined,
      polls: new SocketPolls(),
      onCutOff: () => {},
      onLinked: () => {}
    })
    const link = await connector.checkLink({ endpoint: ENDPOINT, address })
    connector.close()
    return link
  }

  it('tells an endpoint that accepts connections and answers nothing from one that refuses them', async () => {
    expect(await check(silentAddress, false)).to.equal(LinkState.Connects)
    expect(await check(closedAddress, false)).to.equal(LinkState.Unconnected)
  })

  it('finds the link at fault where only another node connects', async () => {
    expect(await check(closedAddress, true)).to.equal(LinkState.LinkAtFault)
  })

  // Guards against taking the members of a head that has paused: its entry has expired, and its address is known from its probe only.
  it('connects to an endpoint that is not listed, and asks no other node for it', async () => {
    expect(await check(silentAddress, true, false)).to.equal(LinkState.Connects)
    expect(await check(closedAddress, true, false)).to.equal(LinkState.Unconnected)
  })
})

import { createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { createRandom, ManualClock } from 'dotterelspur'
import { PeerLinks } from '../../connection/PeerLinks.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createEndpoint, createLog, createManifest } from '../fixtures/builders.js'
import { createPeerListener } from '../fixtures/peers.js'

const POLL_MS = 20

/** Polls until `condition` holds; otherwise the test runs into mocha's timeout. */
async function until (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

/** Long enough for any further handshakes to start, and far below the handshake timeout. */
const SETTLED_MS = 150

describe('PeerLinks', () => {
  it('limit concurrent handshakes, and report no node as lost that has not been dialled', async () => {
    // Guards against 195 nodes that poll the store themselves for half a minute after a takeover (19,660 priced calls): without a
    // limit, the new lease holder dials 194 nodes at once from a third of a core, and most handshakes run into their timeout. After
    // 2.8 s these nodes are removed from the directory, and register again.
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      socket.on('error', () => {})
      sockets.add(socket)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const peers = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const clock = new ManualClock()
    const lost: string[] = []
    const links = new PeerLinks(clock, createRandom(1), createLog(clock), { ...createPeerListener(), onNodeLost: ({ node }) => { lost.push(node) } })
    const nodes = Array.from({ length: 100 }, (_unused, index) => ({ node: `n${index}`, failureDomain: 'a', callers: 'x', peers, incarnation: 1 }))
    try {
      links.link(nodes)
      await until(async () => sockets.size >= 24)
      await new Promise((resolve) => { setTimeout(resolve, SETTLED_MS) })
      expect(sockets.size).to.equal(24)
      for (let passedMs = 0; passedMs < 3_500; passedMs += 700) {
        clock.advance(700)
        links.link(nodes)
      }
      expect(lost.length).to.be.within(1, 24)
    } finally {
      links.close()
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })

  it('pass endpoints from the lease holder to a node that the store refuses to serve', async () => {
    // Guards against a node that sends requests to groups that no longer exist and none to new ones, while the store refuses it
    // for nine seconds and serves the other nodes: endpoints must not be read from the store alone.
    const first = await GatewayWorld.start('n1')
    const second = await GatewayWorld.start('n2', first.store)
    try {
      first.store.put('manifest/main', createManifest(1))
      await until(async () => (await Promise.all([first, second].map(async (world) => await world.gauge('decides')))).includes(1))
      const other = await first.gauge('decides') === 1 ? second : first
      await until(async () => await other.gauge('told_by_decider') === 1)
      other.access.refuseCalls()
      first.store.put('endpoints/w1', createEndpoint('w1', '127.0.0.1:1'))
      await until(async () => await other.gauge('endpoints') === 1)
    } finally {
      await Promise.all([first.gateway.close(), second.gateway.close()])
    }
  })

  it('pass on which node is lost while the store rejects the removal of its entry', async () => {
    // Guards against callers that are sent to a node that went off: all directories name it for as long as its entry is in the store.
    const first = await GatewayWorld.start('n1')
    const others = await Promise.all(['n2', 'n3'].map(async (node) => await GatewayWorld.start(node, first.store)))
    const worlds = [first, ...others]
    try {
      await until(async () => (await Promise.all(worlds.map(async (world) => await world.gauge('nodes')))).every((count) => count === 3))
      await until(async () => (await Promise.all(worlds.map(async (world) => await world.gauge('decides')))).includes(1))
      const decides = await Promise.all(worlds.map(async (world) => await world.gauge('decides')))
      const lost = worlds[decides.lastIndexOf(0)]!
      const remaining = worlds.filter((world) => world !== lost)
      for (const { access } of remaining) access.refuseRemovals()
      await lost.gateway.close()
      await until(async () => (await Promise.all(remaining.map(async (world) => await world.gauge('nodes')))).every((count) => count === 2))
    } finally {
      for (const { gateway } of worlds) await gateway.close()
    }
  })
})

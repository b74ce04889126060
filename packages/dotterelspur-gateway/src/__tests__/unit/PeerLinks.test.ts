import { createServer, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { createRandom, ManualClock, NOTHING_LEARNED } from 'dotterelspur'
import { PeerLinks, type PeerListener } from '../../connection/PeerLinks.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createEndpoint, createLog, createManifest } from '../fixtures/builders.js'

const POLL_MS = 20

/** Waits for what the test claims; it fails by the time limit of all tests. */
async function until (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

/** Far above what one node can shake hands with at a time, far below how long a handshake may take. */
const SETTLED_MS = 150

function createListener (lost: string[]): PeerListener {
  return {
    observe: () => ({ inFlight: {}, flows: {}, demand: {}, speeds: {}, pauses: {}, firstEvents: {}, deadlines: NOTHING_LEARNED, limits: {}, rests: {}, leaving: [] }),
    observed: () => {},
    suspected: () => {},
    doubted: () => {},
    nodeLost: ({ node }) => { lost.push(node) },
    laterLease: () => null,
    leaseSeen: () => {},
    ownWord: () => null,
    deciderWord: () => {},
    feedNews: () => {},
    poisonSeen: () => {},
    poisonKnown: () => []
  }
}

describe('PeerLinks', () => {
  it('dial a few nodes at a time, and take none for lost whose turn has not come', async () => {
    // Symptom: after a takeover 195 nodes go to the store themselves for half a minute (19,660 priced calls). Sequence: the next
    // deciding node dials 194 others at once from a third of a core; most handshakes run into their timeout; after 2.8 s their
    // nodes are taken off the directory, and write themselves again. Cause: nothing bounded the handshakes.
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      socket.on('error', () => {})
      sockets.add(socket)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const peers = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const clock = new ManualClock()
    const lost: string[] = []
    const links = new PeerLinks(clock, createRandom(1), createLog(clock), createListener(lost))
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

  it('let a node that the store turns away learn of endpoints from the one that decides', async () => {
    // Symptom: one node sends requests to groups that are gone, and knows none of the new ones. Sequence: the store turns
    // that node away for nine seconds and serves the others. Cause: nodes learned of endpoints from the store alone.
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
})

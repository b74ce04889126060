import { expect } from 'chai'
import { WebSocket, WebSocketServer } from 'ws'
import { ManualClock } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { PeerConnection } from '../../connection/PeerConnection.js'
import { LogKind } from '../../process/DecisionLog.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { LateLink } from '../fixtures/LateLink.js'
import { LateFrames, type Delay } from '../fixtures/LateFrames.js'

const BOUND_MS = 2_000
const CHANGE_INTERVAL_MS = 550
const SPAN_MS = 60_000
const TENTH_MS = 100
const READS_PER_SECOND = 2_000

interface Row {
  readonly name: string
  readonly delay: (sinceMs: number) => Delay
}

/** Guards against nodes that use a dropped route or a removed endpoint for as long as the lease holder's frames are late. */
const ROWS: readonly Row[] = [
  { name: 'are on time', delay: () => () => 0 },
  { name: 'are 1.2 s late', delay: () => () => 1_200 },
  { name: 'are 2.6 s late', delay: () => () => 2_600 },
  { name: 'are 2.5 s late and on time by turns', delay: (sinceMs) => (sentAtMs) => Math.floor((sentAtMs - sinceMs) / 2_500) % 2 === 0 ? 2_500 : 0 },
  { name: 'are later and later, up to 4 s within 7 s', delay: (sinceMs) => (sentAtMs) => Math.min(4_000, (sentAtMs - sinceMs) * 4 / 7) },
  { name: 'hang for 3 s, then arrive together', delay: (sinceMs) => (sentAtMs) => 3_000 - (sentAtMs - sinceMs) % 3_000 }
]

interface Change {
  readonly key: string
  readonly version: number
  readonly atMs: number
}

/** Writes a manifest and an endpoint by turns; returns how long each node took at most to see each. */
async function longestMs (fleet: LateFrames, row: Row): Promise<number> {
  const changes: Change[] = []
  const sinceMs = fleet.clock.nowMs()
  fleet.delay = row.delay(sinceMs)
  await fleet.advance(SPAN_MS, (passedMs) => {
    if (passedMs % CHANGE_INTERVAL_MS !== 0 || passedMs > SPAN_MS - 2 * BOUND_MS) return
    const key = changes.length % 2 === 0 ? 'manifest/main' : 'endpoints/e1'
    changes.push({ key, version: fleet.store.put(key, { passedMs }).version, atMs: fleet.clock.nowMs() })
  })
  // A later version of an object shows as well that the earlier one is no longer in use.
  const seenMs = (node: LateFrames['others'][number], { key, version, atMs }: Change): number => {
    const seen = [...node.seenAtMs].filter(([name]) => name.startsWith(`${key} `) && Number(name.split(' ')[1]) >= version).map(([, seenAtMs]) => seenAtMs)
    return Math.min(Infinity, ...seen) - atMs
  }
  expect(changes).to.have.lengthOf.at.least(100)
  return Math.max(...fleet.others.flatMap((node) => changes.map((change) => seenMs(node, change))))
}

async function start (nodeCount: number): Promise<LateFrames> {
  const fleet = new LateFrames(new ManualClock(), nodeCount)
  fleet.store.put('manifest/main', {})
  fleet.store.put('endpoints/e1', {})
  await fleet.advance(6_000)
  fleet.takeCalls()
  return fleet
}

describe('A change of manifest or endpoints, while the lease holder\'s frames', () => {
  for (const row of ROWS) {
    it(`${row.name}, reaches each node in time`, async () => {
      expect(await longestMs(await start(5), row)).to.be.at.most(BOUND_MS)
    })
  }
})

describe('Calls to the store', () => {
  for (const nodeCount of [3, 8, 80, 330]) {
    it(`are made by none of ${nodeCount} nodes while the lease holder's frames are on time and nothing changes`, async () => {
      const fleet = await start(nodeCount)
      await fleet.advance(20_000)
      expect(fleet.takeCalls()).to.equal(0)
    })
  }

  // Guards against a herd: the feed ends for all nodes at nearly the same moment.
  it('of 330 nodes stay within the platform\'s limit in each second when the lease holder\'s link becomes narrow', async function () {
    this.timeout(60_000)
    const fleet = await start(330)
    fleet.delay = ROWS[4]!.delay(fleet.clock.nowMs())
    const tenths: number[] = []
    for (let tenth = 0; tenth < 120; tenth++) {
      await fleet.advance(TENTH_MS)
      tenths.push(fleet.takeCalls())
    }
    const seconds = tenths.slice(9).map((_calls, index) => tenths.slice(index, index + 10).reduce((sum, calls) => sum + calls, 0))
    expect(Math.max(...seconds), seconds.join(' ')).to.be.within(330, READS_PER_SECOND)
  })
})

const POLL_MS = 20
const LATE_MS = 2_600
/** Timers may run this much early. */
const TIMER_SLACK_MS = 2

/** Polls until `condition` holds; otherwise the test runs into mocha's timeout. */
async function until (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

describe('PeerConnection', () => {
  it('never shows a frame as less late than it is, and follows the link once it is on time again', async function () {
    this.timeout(20_000)
    const clock = new SystemClock()
    const server = new WebSocketServer({ port: 0, host: '127.0.0.1' })
    await new Promise((resolve) => { server.once('listening', resolve) })
    const link = await new LateLink(`127.0.0.1:${(server.address() as { port: number }).port}`).listen()
    const received: Array<{ readonly sentAtMs: number, readonly lateMs: number, readonly atMs: number }> = []
    let prober: PeerConnection | null = null
    server.on('connection', (socket) => {
      prober = new PeerConnection(socket, clock)
      socket.on('message', (data) => { received.push({ sentAtMs: Number(data.toString()), lateMs: prober!.lateMs, atMs: clock.nowMs() }) })
    })
    const sender = new WebSocket(`ws://${link.address}`)
    await new Promise((resolve) => { sender.once('open', resolve) })
    const timer = setInterval(() => {
      prober?.probe()
      sender.send(String(clock.nowMs()))
    }, POLL_MS)
    try {
      link.delayMs = 300
      await until(() => received.length >= 40)
      link.delayMs = 0
      await until(() => received.at(-1)!.lateMs < 300)
      for (const { sentAtMs, lateMs, atMs } of received) expect(lateMs).to.be.at.least(atMs - sentAtMs - TIMER_SLACK_MS)
    } finally {
      clearInterval(timer)
      sender.terminate()
      link.close()
      server.close()
    }
  })
})

describe('A node', () => {
  it('asks the store itself while the lease holder\'s frames are late, and says so', async function () {
    this.timeout(30_000)
    const links = [await new LateLink().listen(), await new LateLink().listen()]
    const peersAt = (target: string): string => {
      const link = links.find((candidate) => candidate.target === target) ?? links.find((candidate) => candidate.target === null)!
      link.target = target
      return link.address
    }
    const first = await GatewayWorld.start('n1', undefined, undefined, [], peersAt)
    const second = await GatewayWorld.start('n2', first.store, undefined, [], peersAt)
    const worlds = [first, second]
    try {
      await until(async () => (await Promise.all(worlds.map(async (world) => await world.gauge('decides')))).includes(1))
      const other = await first.gauge('decides') === 1 ? second : first
      await until(async () => await other.gauge('told_by_decider') === 1)
      for (const link of links) link.delayMs = LATE_MS
      await until(() => other.lines.some(({ event }) => event === LogKind.LinkLate))
      await until(async () => await other.gauge('told_by_decider') === 0)
      for (const link of links) link.delayMs = 0
      await until(async () => await other.gauge('told_by_decider') === 1)
    } finally {
      for (const { gateway } of worlds) await gateway.close()
      for (const link of links) link.close()
    }
  })
})

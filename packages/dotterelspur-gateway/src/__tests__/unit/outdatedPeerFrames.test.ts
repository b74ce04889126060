import { expect } from 'chai'
import { Packr } from 'msgpackr'
import { WebSocket } from 'ws'
import { createRandom, NO_DEADLINES_OBSERVED, type EndpointId, type FleetObservation } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { ObservationCodec } from '../../connection/ObservationCodec.js'
import { PeerFrameKind } from '../../connection/PeerFrame.js'
import { PeerLinks } from '../../connection/PeerLinks.js'
import { RelayServer } from '../../connection/RelayServer.js'
import { createLog } from '../fixtures/builders.js'
import { LateLink } from '../fixtures/LateLink.js'
import { createPeerListener, freeAddress } from '../fixtures/peers.js'

const POLL_MS = 20
const SEND_INTERVAL_MS = 100
const LATE_MS = 2_600

/** Polls until `condition` holds; otherwise the test runs into mocha's timeout. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

interface Received {
  /** Numbers of the sums of observations that were used. */
  readonly sums: number[]
  readonly suspected: EndpointId[]
  /** How late each of the coordinator's records of requests that crash endpoints was at most. */
  readonly poisonLateMs: number[]
}

const OBSERVATION = { inFlight: {}, flows: {}, demand: {}, speeds: {}, pauses: {}, firstEvents: {}, deadlines: NO_DEADLINES_OBSERVED, limits: {}, rests: {}, leaving: [] }

/** A coordinator's frames, sent to a node over a link; `nodes` of a sum is its number. */
async function play (link: LateLink, isOver: () => boolean): Promise<number> {
  const codec = new Packr({ useRecords: true })
  const observations = new ObservationCodec()
  const socket = new WebSocket(`ws://${link.address}`)
  await new Promise((resolve) => { socket.once('open', resolve) })
  let replies = 0
  socket.on('message', (data) => { if ((codec.unpack(data as Buffer) as { kind: string }).kind === PeerFrameKind.NodeObserved) replies += 1 })
  try {
    for (let number = 1; !isOver(); number++) {
      const fleet: FleetObservation = { ...OBSERVATION, nodes: number, ageMs: 0, intervalMs: 50 }
      socket.send(codec.pack({ kind: PeerFrameKind.FleetObserved, observation: observations.encodeFleet(fleet), fencing: 1 }))
      socket.send(codec.pack({ kind: PeerFrameKind.SuspectedGroups, heads: [`w${number}`] }))
      socket.send(codec.pack({ kind: PeerFrameKind.PoisonRecords, records: [] }))
      await new Promise((resolve) => { setTimeout(resolve, SEND_INTERVAL_MS) })
    }
    return replies
  } finally {
    socket.terminate()
  }
}

describe('Frames of a coordinator that arrive late', () => {
  // Guards against nodes that place requests by loads, and leave groups out by suspicions, that are seconds old.
  it('are not taken for the present, while the node goes on reporting, and are used again once they are on time', async function () {
    this.timeout(30_000)
    const clock = new SystemClock()
    const received: Received = { sums: [], suspected: [], poisonLateMs: [] }
    const peers = new PeerLinks(clock, createRandom(1), createLog(clock), {
      ...createPeerListener(),
      observe: () => OBSERVATION,
      onFleetObservation: ({ nodes }) => { received.sums.push(nodes) },
      onSuspectedGroups: (heads) => { received.suspected.push(...heads) },
      onPoisonRecords: (_records, lateMs) => { received.poisonLateMs.push(lateMs) }
    })
    const address = await freeAddress()
    await peers.listen(address, new RelayServer({ addressOf: () => null, isCutOff: () => false }))
    peers.startProbes(() => 1)
    const link = await new LateLink(`${address.host}:${address.port}`).listen()
    let isOver = false
    const played = play(link, () => isOver)
    try {
      await until(() => received.sums.length > 5)
      link.delayMs = LATE_MS
      await until(() => received.poisonLateMs.at(-1)! > LATE_MS)
      const used = received.sums.length
      const suspected = received.suspected.length
      const arrived = received.poisonLateMs.length
      await until(() => received.poisonLateMs.length > arrived + 10)
      expect(received.sums.length, 'sums that are late').to.equal(used)
      expect(received.suspected.length, 'suspicions that are late').to.equal(suspected)
      link.delayMs = 0
      await until(() => received.sums.length > used + 5)
      isOver = true
      expect(await played, 'observations sent to the coordinator').to.be.greaterThan(used)
    } finally {
      isOver = true
      await played
      peers.close()
      link.close()
    }
  })
})

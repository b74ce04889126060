import { expect } from 'chai'
import pino from 'pino'
import { request } from 'undici'
import { ManualClock } from 'dotterelspur'
import { LinkLateness } from '../../connection/LinkLateness.js'
import { DecisionLog, LogKind, type LogFields } from '../../process/DecisionLog.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { createManifest } from '../fixtures/builders.js'
import { follow, ON_TIME, pass, PAUSE_OVER_MS, progressOf } from '../fixtures/followingNode.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

const POLL_MS = 20

/** Polls until `condition` holds; otherwise the test runs into mocha's timeout. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

describe('The log of the manifest in use', () => {
  // Guards against a refusal whose log does not tell whether the node knew of a newer manifest.
  it('states the version, the age of the view and the node that it comes from', async () => {
    const world = await GatewayWorld.start()
    try {
      await world.declare(createManifest(7))
      const { statusCode, body } = await request(world.url('/nowhere/'), { headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
      await body.dump()
      await until(() => world.lines.some((line) => line['request'] === 'r1'))
      const line = world.lines.find((candidate) => candidate['request'] === 'r1')!
      expect(statusCode).to.equal(404)
      expect(line).to.include({ event: LogKind.RequestEnded, manifestVersion: 7 })
      expect(line['manifestAgeMs']).to.be.a('number').that.is.at.least(0)
      expect(line, 'its own call shows it').to.not.have.property('manifestFrom')
    } finally {
      await world.gateway.close()
    }
  })

  it('names the lease holder whose feed shows the manifest to be the newest', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, MANIFEST_PREFIX)
    await pass(clock, PAUSE_OVER_MS)
    expect(node.followed.view(MANIFEST_PREFIX).from).to.equal(null)
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress({ ...progressOf(node), contactAgeMs: 20 }, { ...ON_TIME, holder: 'n2' })
    expect(node.followed.view(MANIFEST_PREFIX)).to.deep.equal({ ageMs: 20, from: 'n2' })
  })

  it('tells when the lease holder\'s states begin to arrive late, and when they are on time again', () => {
    const lines: LogFields[] = []
    const log = new DecisionLog(new ManualClock(), 'n1', pino({ base: null, timestamp: false }, { write: (line: string) => { lines.push(JSON.parse(line) as LogFields) } }))
    const lateness = new LinkLateness(log)
    for (const lateMs of [3, 1_300, 1_500, 2_600, 1_200, 900, 1_200]) lateness.note('n2', lateMs)
    expect(lines.map(({ event, from, lateMs }) => [event, from, lateMs])).to.deep.equal([[LogKind.LinkLate, 'n2', 1_500], [LogKind.LinkOnTime, 'n2', 900]])
    expect(lateness.lastMs).to.equal(1_200)
  })
})

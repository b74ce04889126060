import { expect } from 'chai'
import { countEnds, ProcessUsage, uploadTogether } from 'dotterelspur-testkit'
import { Cluster } from '../../process/Cluster.js'

const TIMEOUT_MS = 300_000
const UPLOADS = 60
const BODY_BYTES = 4_000_000
/** Longer than all uploads take one after the other; the entry gives a caller 30 s for the whole request. */
const LONG_LIMIT_MS = 120_000
const SHORT_LIMIT_MS = 1_000
/** A caller waits for its response a little longer than it says. */
const PATIENCE_MS = 60_000
/** The smallest machine of the users' pages. */
const MACHINE_MEMORY_BYTES = 250_000_000

describe('Uploads to an entry of the product beside each other', function () {
  this.timeout(TIMEOUT_MS)
  let cluster: Cluster

  beforeEach(async () => { cluster = await Cluster.start({ nodes: 1, seed: 12 }) })

  afterEach(async () => { await cluster.stop() })

  async function upload (timeLimitMs: number, isChunked: boolean, keepsAlive: boolean): Promise<{ readonly ends: Record<string, number>, readonly peakBytes: number }> {
    const [node] = cluster.nodes
    const { token, models } = cluster.layout.teams[0]!
    const { hostname, port } = new URL(node!.entry)
    const path = '/v1/chat/completions'
    const target = { host: hostname, port: Number(port), paths: { small: path, large: path, upload: path }, hostHeader: hostname, keyLines: `Authorization: Bearer ${token}\r\n` }
    const bodyEnd = JSON.stringify({ model: models[0], messages: [{ role: 'user', content: 'A trip' }], max_tokens: 4 })
    const headers = (): Record<string, string> => ({ 'dotterelspur-deadline-ms': String(timeLimitMs) })
    const usage = new ProcessUsage(node!.process.processId!)
    const ends = await uploadTogether(target, { uploads: UPLOADS, bodyBytes: BODY_BYTES, timeLimitMs, patienceMs: PATIENCE_MS, isChunked, keepsAlive, contentType: 'application/json', bodyEnd, headers })
    usage.stop()
    return { ends: countEnds(ends), peakBytes: usage.peakMemoryBytes }
  }

  for (const isChunked of [true, false]) {
    // Guards against uploads that are refused or reset though their callers would wait until it is their turn.
    it(`are all served where there is time, ${isChunked ? 'in chunks' : 'of a stated length'}`, async () => {
      const { ends, peakBytes } = await upload(LONG_LIMIT_MS, isChunked, true)
      expect(ends).to.deep.equal({ 200: UPLOADS })
      expect(peakBytes, 'peak of its memory').to.be.at.most(MACHINE_MEMORY_BYTES)
    })
  }

  for (const keepsAlive of [true, false]) {
    // Guards against refusals that a reset of the connection takes with it: the caller can't know whether its request ran.
    it(`all end with an answer where there is little time, ${keepsAlive ? 'on connections that are kept' : 'on connections for one request'}`, async () => {
      const { ends } = await upload(SHORT_LIMIT_MS, true, keepsAlive)
      expect(Object.keys(ends).filter((end) => !/^[0-9]{3}$/.test(end)), JSON.stringify(ends)).to.deep.equal([])
    })
  }
})

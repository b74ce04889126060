import { expect } from 'chai'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { PlatformServer } from 'dotterelspur-testkit'
import { Cluster } from '../../process/Cluster.js'
import { NodeProcess } from '../../process/NodeProcess.js'
import { findFreePorts, nodeSettingsText } from '../../process/nodeSettings.js'

const TIMEOUT_MS = 60_000
const PATIENCE_MS = 20_000
const POLL_MS = 20
const SECRET = '0123456789abcdef0123456789abcdef'
const HOST = '127.0.0.1'
/** A drain takes longer: the node keeps probing until others do. */
const REPEAT_DELAYS_MS = [0, 400, 1_000]
const GRACE_MS = 4_000
/** Streams take far longer than the grace period. */
const SLOW_TOKEN_MS = 1_000

/** A node and the stand-in of its platform. */
class SignalledNode {
  private constructor (private readonly folder: string, private readonly platform: PlatformServer, private readonly process: NodeProcess) {}

  static async start (): Promise<SignalledNode> {
    const folder = mkdtempSync(join(tmpdir(), 'node-signals-'))
    const path = join(folder, 'node.ini')
    const ports = await findFreePorts(HOST)
    const platform = new PlatformServer({ seed: 1 })
    await platform.start()
    const plan = { id: 'node-1', failureDomain: 'perth-a', host: HOST, relayHost: HOST }
    writeFileSync(path, nodeSettingsText({ plan, region: 'perth', ports, meshAddress: `${HOST}:${ports.mesh}`, meshKey: SECRET, adminToken: SECRET, platformUrl: platform.url, fencing: 'ignored' }))
    const node = new SignalledNode(folder, platform, new NodeProcess('node-1', path, join(folder, 'node.log')))
    node.process.start()
    return node
  }

  signal (signal: NodeJS.Signals): void {
    this.process.signal(signal)
  }

  get log (): string {
    return readFileSync(join(this.folder, 'node.log'), 'utf8')
  }

  async untilLogged (text: string): Promise<void> {
    const startedAtMs = performance.now()
    while (!this.log.includes(text)) {
      if (!this.process.running || performance.now() - startedAtMs > PATIENCE_MS) throw new Error(`no "${text}" in the log: ${this.log}`)
      await delay(POLL_MS)
    }
  }

  async end (): Promise<number | NodeJS.Signals | null> {
    await Promise.race([this.process.ended(), delay(PATIENCE_MS)])
    return this.process.lastEnd
  }

  async close (): Promise<void> {
    await this.process.kill()
    await this.platform.stop()
    rmSync(this.folder, { recursive: true })
  }
}

async function run (steps: (node: SignalledNode) => Promise<void>): Promise<number | NodeJS.Signals | null> {
  const node = await SignalledNode.start()
  try {
    await steps(node)
    return await node.end()
  } finally {
    await node.close()
  }
}

describe('A node\'s signals', function () {
  this.timeout(TIMEOUT_MS)

  // Guards against a process that goes on after its drain until its supervisor kills it.
  it('end it once its drain is complete', async () => {
    const end = await run(async (node) => {
      await node.untilLogged('started, incarnation')
      node.signal('SIGTERM')
      await node.untilLogged('stopped')
    })
    expect(end).to.equal(0)
  })

  // Guards against a drain that a repeated signal cuts short, with the requests that it completes.
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    it(`do not end its drain when ${signal} is repeated`, async () => {
      const ends = await Promise.all(REPEAT_DELAYS_MS.map(async (delayMs) => await run(async (node) => {
        await node.untilLogged('started, incarnation')
        node.signal('SIGTERM')
        await node.untilLogged('draining')
        await delay(delayMs)
        node.signal(signal)
      })))
      expect(ends).to.deep.equal(REPEAT_DELAYS_MS.map(() => 0))
    })
  }

  // Guards against a node that SIGHUP ends by the default action.
  it('do not end it unless they ask it to drain', async () => {
    const end = await run(async (node) => {
      await node.untilLogged('started, incarnation')
      for (const signal of ['SIGHUP', 'SIGCONT', 'SIGPIPE'] as const) {
        node.signal(signal)
        await node.untilLogged(`signal ${signal} while serving, action none`)
      }
      node.signal('SIGTERM')
    })
    expect(end).to.equal(0)
  })
})

describe('A node whose supervisor kills it at the end of its grace period', function () {
  this.timeout(TIMEOUT_MS)

  // Guards against connections that the supervisor's kill resets, so that callers learn nothing of their requests.
  it('ends what still runs with an error that says what is known, and exits by itself', async () => {
    const cluster = await Cluster.start({ nodes: 1, seed: 11, engine: { tokenMs: SLOW_TOKEN_MS }, stopGraceMs: GRACE_MS })
    try {
      const [node] = cluster.nodes
      const { token, models } = cluster.layout.teams[0]!
      const body = JSON.stringify({ model: models[0], messages: [{ role: 'user', content: 'A trip' }], stream: true })
      const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json', 'dotterelspur-non-idempotent': 'true' }
      const answer = await fetch(`${node!.entry}/v1/chat/completions`, { method: 'POST', headers, body })
      node!.process.signal('SIGTERM')
      const last = (await answer.text()).trim().split('\n\n').at(-1)!
      await Promise.race([node!.process.ended(), delay(PATIENCE_MS)])
      expect(last).to.match(/^event: error\ndata: .*"code":"stream_broken".*"outcome":"unknown"/)
      expect(node!.process.lastEnd).to.equal(0)
    } finally {
      await cluster.stop()
    }
  })
})

describe('A node that is started with the flags for its memory', function () {
  this.timeout(TIMEOUT_MS)

  // Guards against a heap that follows the memory of the host, and fills with garbage the smaller memory that the node may use.
  it('has a heap whose limit leaves room beside it', async () => {
    let log = ''
    await run(async (node) => {
      await node.untilLogged('started, incarnation')
      log = node.log
      node.signal('SIGTERM')
    })
    expect(log).not.to.contain('the heap may grow')
  })
})

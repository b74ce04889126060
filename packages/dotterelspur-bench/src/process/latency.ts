import { readFileSync, readdirSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { PriorityClass, createRandom } from 'dotterelspur'
import { startDemo } from './DemoProcess.js'
import { createHistogram, percentileColumns, percentileMs, percentileRow, recordMs } from './load/LoadRecorder.js'
import type { LoadTarget } from './load/LoadTarget.js'
import { spreadOf } from './BenchReport.js'
import type { BenchFindings, ResultTable } from './BenchReport.js'

export interface LatencyOptions {
  readonly requestsPerSecond: number
  readonly seconds: number
  readonly seed: number
  readonly progress: (line: string) => void
}

interface EngineGroup {
  readonly group: string
  readonly formation: number
  readonly model: string
  readonly version: string
  readonly members: ReadonlyArray<{ readonly vm: string, readonly address: string }>
}

const SECOND_MS = 1_000
const IDLE_MS = 4_000
const WARM_UP_CALLS = 200
const SMALL_TOKENS = 1
const STREAM_TOKENS = 63
const STREAMS_AT_ONCE = 24
const CLOCK_TICKS_PER_SECOND = 100
const LIBRARIES = ['fastify', 'undici', 'ws', 'msgpackr', 'zod', 'ini', 'debug', 'prom-client', 'hdr-histogram-js']

/** Compares calls through one node with direct calls to the engine in one run, and measures the node's processor time and memory. */
export async function measureLatency (options: LatencyOptions): Promise<BenchFindings> {
  const demo = await startDemo({ nodes: 1, seed: options.seed })
  const dispatcher = new Agent({ connections: 64, pipelining: 1 })
  try {
    const node = nodeProcess(demo.pid)
    const caller = new PairedCaller(demo.target, dispatcher, await readGroup(demo.target))
    const idle = await cpuShare(node, async () => { await delay(IDLE_MS) })
    const memory = { rssBytes: residentBytes(node), libraryRssBytes: libraryBytes() }
    for (let index = 0; index < WARM_UP_CALLS; index++) await caller.throughNode(SMALL_TOKENS, false)
    options.progress(`small calls, ${options.requestsPerSecond} a second, every other one straight to the engine`)
    const small = await cpuShare(node, async () => { await caller.openLoop(options) })
    options.progress(`${STREAMS_AT_ONCE} streams at once`)
    const streams = await cpuShare(node, async () => { await caller.streams(options.seconds * SECOND_MS) })
    return findings(options, caller, { idle, small, streams }, memory)
  } finally {
    await dispatcher.destroy()
    await demo.stop(false)
  }
}

class PairedCaller {
  readonly direct = createHistogram()
  readonly through = createHistogram()
  throughCalls = 0
  streamedChunks = 0
  private number = 0

  constructor (private readonly target: LoadTarget, private readonly dispatcher: Agent, private readonly engine: EngineGroup) {}

  async openLoop ({ requestsPerSecond, seconds, seed }: LatencyOptions): Promise<void> {
    const random = createRandom(seed)
    const pending: Array<Promise<void>> = []
    const startedAt = performance.now()
    for (let index = 0; index < requestsPerSecond * seconds; index++) {
      const dueAt = startedAt + index * SECOND_MS / requestsPerSecond
      await delay(Math.max(0, dueAt - performance.now()))
      const direct = random.next() < 0.5
      pending.push(this.timed(direct))
    }
    await Promise.all(pending)
  }

  async streams (durationMs: number): Promise<void> {
    const until = performance.now() + durationMs
    await Promise.all(Array.from({ length: STREAMS_AT_ONCE }, async () => {
      while (performance.now() < until) {
        // Reading the total before the wait would lose what other streams add meanwhile.
        const chunks = await this.throughNode(STREAM_TOKENS, true)
        this.streamedChunks += chunks
      }
    }))
  }

  /** Sends a chat call through the node; returns the number of received chunks. */
  async throughNode (maxTokens: number, stream: boolean): Promise<number> {
    const team = this.target.teams.find((candidate) => candidate.models.includes(this.engine.model))!
    const reply = await request(`${this.target.entries[0]}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${team.token}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: this.engine.model, messages: [{ role: 'user', content: `hello ${this.number++}` }], max_tokens: maxTokens, stream })
    })
    const text = await reply.body.text()
    if (reply.statusCode !== 200) throw new Error(`status ${reply.statusCode}: ${text}`)
    return text.split('data: ').length - 1
  }

  private async timed (direct: boolean): Promise<void> {
    const startedAt = performance.now()
    if (direct) await this.toEngine()
    else await this.throughNode(SMALL_TOKENS, false)
    if (!direct) this.throughCalls++
    recordMs(direct ? this.direct : this.through, performance.now() - startedAt)
  }

  private async toEngine (): Promise<void> {
    const { group, formation, model, version, members } = this.engine
    const number = this.number++
    const body = {
      requestId: `bench.1.a.${String(number).padStart(12, '0')}`,
      attempt: 1,
      group,
      formation,
      model,
      version,
      adapter: null,
      prompt: `user: hello ${number}\n`,
      maxTokens: SMALL_TOKENS,
      priority: PriorityClass.Interactive,
      seed: number,
      resumeOffset: 0,
      resumeText: '',
      idempotencyKey: null
    }
    const reply = await request(`${members[0]!.address}/v1/generate`, { method: 'POST', dispatcher: this.dispatcher, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    const text = await reply.body.text()
    if (reply.statusCode !== 200) throw new Error(`engine: ${reply.statusCode} ${text}`)
  }
}

async function readGroup (target: LoadTarget): Promise<EngineGroup> {
  const reply = await request(`${target.admin[0]}/admin/groups`, { headers: { authorization: `Bearer ${target.adminToken}` } })
  const { groups } = await reply.body.json() as { readonly groups: ReadonlyArray<EngineGroup & { readonly serving: boolean }> }
  return groups.find((group) => group.serving)!
}

/** The node among the demo's child processes. */
function nodeProcess (demoPid: number): number {
  for (const name of readdirSync('/proc').filter((entry) => /^[0-9]+$/.test(entry))) {
    try {
      const status = readFileSync(`/proc/${name}/status`, 'utf8')
      if (new RegExp(`^PPid:\\s+${demoPid}$`, 'm').test(status) && readFileSync(`/proc/${name}/cmdline`, 'utf8').includes('dotterelspur.js')) return Number(name)
    } catch {
      continue
    }
  }
  throw new Error('the demo has no node process')
}

function cpuMs (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * SECOND_MS / CLOCK_TICKS_PER_SECOND
}

function residentBytes (pid: number): number {
  return Number(/^VmRSS:\s+([0-9]+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) * 1_024
}

/** Resident memory of an idle process that has loaded only the libraries of a node. */
function libraryBytes (): number {
  const script = `await Promise.all(${JSON.stringify(LIBRARIES)}.map((name) => import(name))); console.log(process.memoryUsage().rss)`
  return Number(execFileSync(process.execPath, ['--input-type=module', '-e', script], { encoding: 'utf8' }))
}

interface CpuShare {
  readonly cpuMs: number
  readonly wallMs: number
}

async function cpuShare (pid: number, work: () => Promise<void>): Promise<CpuShare> {
  const cpuBefore = cpuMs(pid)
  const startedAt = performance.now()
  await work()
  return { cpuMs: cpuMs(pid) - cpuBefore, wallMs: performance.now() - startedAt }
}

function findings (options: LatencyOptions, caller: PairedCaller, cpu: Readonly<Record<'idle' | 'small' | 'streams', CpuShare>>, memory: { readonly rssBytes: number, readonly libraryRssBytes: number }): BenchFindings {
  const idleShare = cpu.idle.cpuMs / cpu.idle.wallMs
  const perSmallMs = (cpu.small.cpuMs - idleShare * cpu.small.wallMs) / caller.throughCalls
  const perChunkMs = (cpu.streams.cpuMs - idleShare * cpu.streams.wallMs) / caller.streamedChunks
  const added = (percentile: number): number => percentileMs(caller.through, percentile) - percentileMs(caller.direct, percentile)
  const facts: ReadonlyArray<readonly [string, number, number]> = [
    ['added latency, median (ms)', added(50), 1],
    ['added latency, 99 in 100 (ms)', added(99), 4],
    [`small requests per second on one core, from ${options.requestsPerSecond / 2} a second`, SECOND_MS / perSmallMs, 1_500],
    ['streamed chunks per second on one core', SECOND_MS / perChunkMs, 30_000],
    ['idle processor (% of a core)', idleShare * 100, 1.9],
    ['resident memory, idle (MB)', memory.rssBytes / 1e6, NaN],
    ['resident memory of a process with the libraries alone (MB)', memory.libraryRssBytes / 1e6, NaN]
  ]
  const aims: ResultTable = {
    title: 'What a node adds and spends',
    labelName: 'measure',
    columns: [{ name: 'measured', digits: 2 }, { name: 'aim', digits: 1 }],
    rows: facts.map(([label, value, aim]) => ({ label, baseline: false, cells: [spreadOf([value]), Number.isNaN(aim) ? null : spreadOf([aim])] }))
  }
  const latency: ResultTable = {
    title: `One-token answers at ${options.requestsPerSecond} calls a second`,
    labelName: 'way',
    columns: percentileColumns(2),
    rows: [percentileRow('through a node', caller.through), percentileRow('straight to the engine', caller.direct, true)]
  }
  const notes = ['Requests and chunks per core are 1 / processor time of the node process for one, idle time taken off; the chunk figure includes each stream\'s own start.']
  return { settings: { requestsPerSecond: options.requestsPerSecond, seconds: options.seconds, streamsAtOnce: STREAMS_AT_ONCE }, tables: [aims, latency], plots: [], notes, violated: false }
}

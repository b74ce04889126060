import { expect } from 'chai'
import { ManualClock, PriorityClass, prefixHashes } from 'dotterelspur'
import type { GenerateRequest } from 'dotterelspur'
import { DEFAULT_ENGINE_SETTINGS, PrefixCache, RunEnd } from '../../index.js'
import type { EngineSettings } from '../../index.js'
import { BatchScheduler } from '../../process/engine/BatchScheduler.js'
import { GroupCondition } from '../../process/engine/GroupHealth.js'
import { EngineRun } from '../../request/EngineRun.js'

const TOKEN_MS = 10
const PREFILL_MS = 35
const MAX_TOKENS = 20

interface Fixture {
  readonly clock: ManualClock
  readonly batch: BatchScheduler
  condition: GroupCondition
  paused: boolean
  straggleMs: number
  lost: boolean
  submit (priority?: PriorityClass): EngineRun
}

function createFixture (settings: Partial<EngineSettings> = {}): Fixture {
  const clock = new ManualClock()
  const all: EngineSettings = { ...DEFAULT_ENGINE_SETTINGS, tokenMs: TOKEN_MS, capacity: 2, maxRunning: 4, maxWaiting: 4, loadLagMs: 500, ...settings }
  let sequence = 0
  const fixture: Fixture = {
    clock,
    batch: new BatchScheduler(all, clock, {
      paused: () => fixture.paused,
      health: () => ({ condition: fixture.condition, membersUp: 2, membersDue: 2, straggleMs: fixture.straggleMs }),
      prefillMs: () => PREFILL_MS,
      onBroken: () => { fixture.lost = true }
    }),
    condition: GroupCondition.Whole,
    paused: false,
    straggleMs: 0,
    lost: false,
    submit: (priority = PriorityClass.Standard) => {
      const request: GenerateRequest = {
        requestId: `r${sequence++}`, attempt: 1, group: 'g1', formation: 1, model: 'm', version: '1', adapter: null, prompt: 'p', maxTokens: MAX_TOKENS, priority, seed: 1, resumeOffset: 0, resumeText: '', idempotencyKey: null
      }
      const run = new EngineRun(request, () => {})
      fixture.batch.submit(run)
      return run
    }
  }
  return fixture
}

describe('BatchScheduler', () => {
  it('reads the prompt first, and then generates one token per step', () => {
    const { clock, submit } = createFixture()
    const run = submit()
    clock.advance(39)
    expect(run.offset).to.equal(0)
    clock.advance(1 + 2 * TOKEN_MS)
    expect(run.offset).to.equal(3)
    clock.advance(MAX_TOKENS * TOKEN_MS)
    expect(run.end).to.equal(RunEnd.Whole)
  })

  it('slows down in proportion above its capacity', () => {
    const rateOf = (runs: number): number => {
      const { clock, submit } = createFixture()
      const all = Array.from({ length: runs }, () => submit())
      clock.advance(PREFILL_MS + 5 + 80)
      return all[0]!.offset
    }
    expect(rateOf(2)).to.equal(9)
    expect(rateOf(4)).to.equal(4)
  })

  it('admits waiting requests by priority, then by arrival', () => {
    const { clock, submit } = createFixture({ maxRunning: 1, maxWaiting: 10 })
    const first = submit()
    const bulk = submit(PriorityClass.Bulk)
    const standard = submit()
    const interactive = submit(PriorityClass.Interactive)
    const finishes: string[] = []
    for (let step = 0; step < 200; step++) {
      clock.advance(TOKEN_MS)
      for (const run of [first, bulk, standard, interactive]) {
        if (run.finished && !finishes.includes(run.request.requestId)) finishes.push(run.request.requestId)
      }
    }
    expect(finishes).to.deep.equal([first, interactive, standard, bulk].map((run) => run.request.requestId))
  })

  it('is full only when neither a running nor a waiting place is free', () => {
    const { batch, submit } = createFixture({ maxRunning: 1, maxWaiting: 1 })
    submit()
    expect(batch.full).to.equal(false)
    submit()
    expect(batch.full).to.equal(true)
  })

  it('reports the load with its configured lag', () => {
    const { clock, batch, submit } = createFixture({ maxRunning: 1 })
    clock.advance(1_000)
    submit()
    submit()
    expect(batch.load(0)).to.include({ running: 0, waiting: 0, ageMs: 500 })
    clock.advance(499)
    expect(batch.load(0).running).to.equal(0)
    clock.advance(1)
    expect(batch.load(0)).to.include({ waiting: 1 })
  })

  it('waits for the slowest member at each step', () => {
    const fixture = createFixture()
    fixture.straggleMs = 90
    const run = fixture.submit()
    fixture.clock.advance(300)
    expect(run.offset).to.equal(3)
  })

  it('makes no progress while a member does not answer or the VM is paused, and continues afterwards', () => {
    const fixture = createFixture()
    const run = fixture.submit()
    fixture.clock.advance(50)
    const before = run.offset
    fixture.condition = GroupCondition.Stalled
    fixture.clock.advance(1_000)
    fixture.condition = GroupCondition.Whole
    fixture.paused = true
    fixture.clock.advance(1_000)
    expect(run.offset).to.equal(before)
    fixture.paused = false
    fixture.clock.advance(TOKEN_MS)
    expect(run.offset).to.equal(before + 1)
  })

  it('loses all runs when a member is lost', () => {
    const fixture = createFixture({ maxRunning: 1 })
    const runs = [fixture.submit(), fixture.submit()]
    fixture.condition = GroupCondition.Broken
    fixture.clock.advance(TOKEN_MS)
    expect(runs.map((run) => run.end)).to.deep.equal([RunEnd.Died, RunEnd.Died])
    expect(fixture.lost).to.equal(true)
  })
})

describe('PrefixCache', () => {
  it('finds the leading blocks that it holds, and evicts the least recently used ones', () => {
    const cache = new PrefixCache(3)
    const [a, b] = ['a'.repeat(128), 'b'.repeat(128)].map((prompt) => prefixHashes(prompt)) as [number[], number[]]
    expect(cache.store(a)).to.deep.equal({ stored: a, evicted: [] })
    expect(cache.hitBlocks(prefixHashes('a'.repeat(200)))).to.equal(2)
    expect(cache.store(b).evicted).to.deep.equal([a[0]])
    expect(cache.hitBlocks(a)).to.equal(0)
    expect(cache.hitBlocks(b)).to.equal(2)
  })
})

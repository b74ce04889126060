import { expect } from 'chai'
import {
  CacheEventKind, EndpointErrorKind, ManualClock, TargetKind, createRandom, failed, groupTargetId, serviceTargetId, success,
  type CacheEventPage, type EndpointError, type Result, type RouteTarget, type TargetId
} from 'dotterelspur'
import { CacheEventPoller, EVENT_BYTES, POLL_BYTES } from '../../process/CacheEventPoller.js'
import type { EntryContext } from '../../process/EntryContext.js'
import { DEFAULT_ENTRY_LIMITS, DEFAULT_ENTRY_TIMING } from '../../process/EntryOptions.js'

type PageResult = Result<CacheEventPage, EndpointError>

const FAILURE: PageResult = failed({ kind: EndpointErrorKind.Ambiguous, reason: 'no response in time' })
const HOUR_MS = 60 * 60_000

function pageOf (sequences: readonly number[], nextSequence = sequences.at(-1) ?? 0): PageResult {
  return success({ events: sequences.map((sequence) => ({ sequence, kind: CacheEventKind.Stored, prefixHash: sequence })), nextSequence })
}

function groupOf (group: string, formation = 1, region = 'perth'): RouteTarget {
  return { kind: TargetKind.Group, id: groupTargetId(group, formation), group, formation, region, address: `http://${group}` } as RouteTarget
}

function createFixture () {
  const clock = new ManualClock()
  const polls: Array<{ readonly address: string, readonly after: number, readonly atMs: number }> = []
  const applied: Array<{ readonly id: TargetId, readonly events: number }> = []
  const responses: Array<PageResult | Promise<PageResult>> = []
  let setTargets: (targets: readonly RouteTarget[]) => void = () => {}
  let listening = false
  const context = {
    clock,
    random: createRandom(1),
    mesh: { self: { region: 'perth' } },
    fleet: {
      registerListener: (listener: typeof setTargets) => {
        setTargets = listener
        listening = true
        return () => { listening = false }
      }
    },
    router: { applyCacheEvents: (id: TargetId, page: CacheEventPage) => { applied.push({ id, events: page.events.length }) } },
    engines: {
      cacheEvents: async (address: string, after: number) => {
        polls.push({ address, after, atMs: clock.nowMs() })
        return responses.shift() ?? pageOf([], after)
      }
    },
    timing: DEFAULT_ENTRY_TIMING,
    limits: DEFAULT_ENTRY_LIMITS
  } as unknown as EntryContext
  const stop = new CacheEventPoller(context).start()
  return {
    clock,
    polls,
    applied,
    responses,
    stop,
    setTargets: (targets: readonly RouteTarget[]) => { setTargets(targets) },
    isListening: () => listening,
    /** Each step triggers at most one poll, whatever the delay before it. */
    turns: async (count: number) => {
      for (let index = 0; index < count; index += 1) {
        clock.advance(HOUR_MS)
        await settled()
      }
    }
  }
}

function settled (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}

describe('CacheEventPoller', () => {
  const pageCases: ReadonlyArray<{ name: string, responses: readonly PageResult[], after: readonly number[], appliedEvents: readonly number[] }> = [
    { name: 'a page: continues after it', responses: [pageOf([1, 2])], after: [0, 2], appliedEvents: [2, 0] },
    { name: 'an empty page: polls again from the same sequence', responses: [pageOf([4]), pageOf([], 4)], after: [0, 4, 4], appliedEvents: [1, 0, 0] },
    { name: 'a gap: continues after it and applies all events', responses: [pageOf([1]), pageOf([7, 9])], after: [0, 1, 9], appliedEvents: [1, 2, 0] },
    { name: 'a failed poll: restarts at sequence 0', responses: [pageOf([1, 2]), FAILURE], after: [0, 2, 0], appliedEvents: [2, 0] },
    { name: 'a failed first poll: polls again', responses: [FAILURE], after: [0, 0], appliedEvents: [0] }
  ]
  for (const row of pageCases) {
    it(row.name, async () => {
      const { setTargets, turns, polls, applied, responses, stop } = createFixture()
      responses.push(...row.responses)
      setTargets([groupOf('a')])
      await turns(row.after.length)
      stop()
      expect(polls.map(({ after }) => after)).to.deep.equal(row.after)
      expect(applied.map(({ events }) => events)).to.deep.equal(row.appliedEvents)
    })
  }

  const targetCases: ReadonlyArray<{ name: string, next: readonly RouteTarget[], polled: readonly string[] }> = [
    { name: 'a new formation restarts at sequence 0', next: [groupOf('a', 2)], polled: ['http://a 0'] },
    { name: 'the same formation continues', next: [groupOf('a')], polled: ['http://a 3'] },
    { name: 'a leader at another address restarts at sequence 0', next: [{ ...groupOf('a'), address: 'http://b' }], polled: ['http://b 0'] },
    { name: 'a group that may not be dispatched to is not polled', next: [], polled: [] },
    { name: 'a group of another region is not polled', next: [groupOf('a', 1, 'albany')], polled: [] },
    { name: 'a worker of a service is not polled', next: [{ kind: TargetKind.Service, id: serviceTargetId('trips', 'vm-1', 1), region: 'perth' } as RouteTarget], polled: [] }
  ]
  for (const row of targetCases) {
    it(row.name, async () => {
      const { setTargets, turns, polls, responses, stop } = createFixture()
      responses.push(pageOf([3]))
      setTargets([groupOf('a')])
      await turns(1)
      setTargets(row.next)
      await turns(1)
      stop()
      expect(polls.slice(1, 2).map(({ address, after }) => `${address} ${after}`)).to.deep.equal(row.polled)
    })
  }

  it('discards the page of a formation that has been replaced, and keeps one poll in flight', async () => {
    const { setTargets, turns, polls, applied, responses, stop } = createFixture()
    let respond: (value: PageResult) => void = () => {}
    responses.push(new Promise((resolve) => { respond = resolve }))
    setTargets([groupOf('a')])
    await turns(3)
    expect(polls).to.have.length(1)
    setTargets([groupOf('a', 2)])
    respond(pageOf([5]))
    await settled()
    await turns(1)
    stop()
    expect(applied.map(({ id }) => id)).to.deep.equal([groupTargetId('a', 2)])
    expect(polls.map(({ after }) => after)).to.deep.equal([0, 0])
  })

  it('stops permanently, even with a poll in flight', async () => {
    const { setTargets, turns, polls, applied, responses, stop, isListening } = createFixture()
    let respond: (value: PageResult) => void = () => {}
    responses.push(new Promise((resolve) => { respond = resolve }))
    setTargets([groupOf('a')])
    await turns(1)
    stop()
    respond(pageOf([5]))
    await settled()
    await turns(2)
    expect([polls.length, applied.length, isListening()]).to.deep.equal([1, 0, false])
  })

  const loads = [{ groups: 1, events: 0 }, { groups: 19, events: 0 }, { groups: 300, events: 0 }, { groups: 19, events: 500 }]
  for (const { groups, events } of loads) {
    it(`stays within the byte budget at ${groups} groups and ${events} events a page, and polls every group`, async () => {
      const { clock, setTargets, polls, responses, stop } = createFixture()
      const names = Array.from({ length: groups }, (_, index) => `g${index}`)
      setTargets(names.map((name) => groupOf(name)))
      while (polls.length < groups * 2 + 1) {
        if (responses.length === 0) responses.push(pageOf(Array.from({ length: events }, (_, index) => index + 1)))
        clock.advance(50)
        await settled()
      }
      stop()
      const elapsedMs = polls.at(-1)!.atMs - polls[0]!.atMs
      const bytesPerSecond = groups * 2 * (POLL_BYTES + EVENT_BYTES * events) / elapsedMs * 1_000
      expect(bytesPerSecond).to.be.at.most(DEFAULT_ENTRY_LIMITS.cacheEventBytesPerSecond)
      expect(elapsedMs / 2).to.be.at.least(DEFAULT_ENTRY_TIMING.cacheEventIntervalMs)
      expect(new Set(polls.slice(0, groups).map(({ address }) => address)).size).to.equal(groups)
      if (process.env.ENTRY_MEASURE !== undefined) console.log(groups, events, (groups * 2000 / elapsedMs).toFixed(2), 'requests/s', (elapsedMs / 2).toFixed(0), 'ms a round', bytesPerSecond.toFixed(0), 'B/s')
    })
  }
})

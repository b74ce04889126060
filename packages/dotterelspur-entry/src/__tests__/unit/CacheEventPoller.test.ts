import { expect } from 'chai'
import {
  CacheEventKind, EndpointErrorKind, ManualClock, TargetKind, createRandom, failed, groupTargetId, serviceTargetId, success,
  type CacheEventPage, type EndpointError, type Result, type RouteTarget, type TargetId
} from 'dotterelspur'
import { CacheEventPoller, EVENT_BYTES, POLL_BYTES } from '../../process/CacheEventPoller.js'
import type { EntryContext } from '../../process/EntryContext.js'
import { DEFAULT_ENTRY_LIMITS, DEFAULT_ENTRY_TIMING } from '../../process/EntryOptions.js'

type Answer = Result<CacheEventPage, EndpointError>

const FAILURE: Answer = failed({ kind: EndpointErrorKind.Ambiguous, reason: 'no answer in time' })
const HOUR_MS = 60 * 60_000

function pageOf (sequences: readonly number[], nextSequence = sequences.at(-1) ?? 0): Answer {
  return success({ events: sequences.map((sequence) => ({ sequence, kind: CacheEventKind.Stored, prefixHash: sequence })), nextSequence })
}

function groupOf (group: string, formation = 1, region = 'perth'): RouteTarget {
  return { kind: TargetKind.Group, id: groupTargetId(group, formation), group, formation, region, address: `http://${group}` } as RouteTarget
}

function createFixture () {
  const clock = new ManualClock()
  const polls: Array<{ readonly address: string, readonly after: number, readonly atMs: number }> = []
  const noted: Array<{ readonly id: TargetId, readonly events: number }> = []
  const answers: Array<Answer | Promise<Answer>> = []
  let tell: (targets: readonly RouteTarget[]) => void = () => {}
  let listening = false
  const context = {
    clock,
    random: createRandom(1),
    mesh: { self: { region: 'perth' } },
    fleet: {
      registerListener: (listener: typeof tell) => {
        tell = listener
        listening = true
        return () => { listening = false }
      }
    },
    router: { applyCacheEvents: (id: TargetId, page: CacheEventPage) => { noted.push({ id, events: page.events.length }) } },
    engines: {
      cacheEvents: async (address: string, after: number) => {
        polls.push({ address, after, atMs: clock.nowMs() })
        return answers.shift() ?? pageOf([], after)
      }
    },
    timing: DEFAULT_ENTRY_TIMING,
    limits: DEFAULT_ENTRY_LIMITS
  } as unknown as EntryContext
  const stop = new CacheEventPoller(context).start()
  return {
    clock,
    polls,
    noted,
    answers,
    stop,
    tell: (targets: readonly RouteTarget[]) => { tell(targets) },
    isListening: () => listening,
    /** Each step fires one poll at most, however long the pause before it is. */
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
  const faults: ReadonlyArray<{ name: string, answers: readonly Answer[], after: readonly number[], notedEvents: readonly number[] }> = [
    { name: 'a page: goes on after it', answers: [pageOf([1, 2])], after: [0, 2], notedEvents: [2, 0] },
    { name: 'an empty page: asks again from the same place', answers: [pageOf([4]), pageOf([], 4)], after: [0, 4, 4], notedEvents: [1, 0, 0] },
    { name: 'a gap: goes on after it and passes all on', answers: [pageOf([1]), pageOf([7, 9])], after: [0, 1, 9], notedEvents: [1, 2, 0] },
    { name: 'a failed poll: starts over', answers: [pageOf([1, 2]), FAILURE], after: [0, 2, 0], notedEvents: [2, 0] },
    { name: 'a failed first poll: asks again', answers: [FAILURE], after: [0, 0], notedEvents: [0] }
  ]
  for (const row of faults) {
    it(row.name, async () => {
      const { tell, turns, polls, noted, answers, stop } = createFixture()
      answers.push(...row.answers)
      tell([groupOf('a')])
      await turns(row.after.length)
      stop()
      expect(polls.map(({ after }) => after)).to.deep.equal(row.after)
      expect(noted.map(({ events }) => events)).to.deep.equal(row.notedEvents)
    })
  }

  const changes: ReadonlyArray<{ name: string, next: readonly RouteTarget[], polled: readonly string[] }> = [
    { name: 'a new formation starts over', next: [groupOf('a', 2)], polled: ['http://a 0'] },
    { name: 'the same formation goes on', next: [groupOf('a')], polled: ['http://a 3'] },
    { name: 'a leader at another address starts over', next: [{ ...groupOf('a'), address: 'http://b' }], polled: ['http://b 0'] },
    { name: 'a group that may not be dispatched to is left alone', next: [], polled: [] },
    { name: 'a group of another region is left alone', next: [groupOf('a', 1, 'albany')], polled: [] },
    { name: 'a worker of a service is left alone', next: [{ kind: TargetKind.Service, id: serviceTargetId('trips', 'vm-1', 1), region: 'perth' } as RouteTarget], polled: [] }
  ]
  for (const row of changes) {
    it(row.name, async () => {
      const { tell, turns, polls, answers, stop } = createFixture()
      answers.push(pageOf([3]))
      tell([groupOf('a')])
      await turns(1)
      tell(row.next)
      await turns(1)
      stop()
      expect(polls.slice(1, 2).map(({ address, after }) => `${address} ${after}`)).to.deep.equal(row.polled)
    })
  }

  it('drops the page of a formation that ended meanwhile, and has one poll in flight', async () => {
    const { tell, turns, polls, noted, answers, stop } = createFixture()
    let answer: (value: Answer) => void = () => {}
    answers.push(new Promise((resolve) => { answer = resolve }))
    tell([groupOf('a')])
    await turns(3)
    expect(polls).to.have.length(1)
    tell([groupOf('a', 2)])
    answer(pageOf([5]))
    await settled()
    await turns(1)
    stop()
    expect(noted.map(({ id }) => id)).to.deep.equal([groupTargetId('a', 2)])
    expect(polls.map(({ after }) => after)).to.deep.equal([0, 0])
  })

  it('stops for good, also with a poll in flight', async () => {
    const { tell, turns, polls, noted, answers, stop, isListening } = createFixture()
    let answer: (value: Answer) => void = () => {}
    answers.push(new Promise((resolve) => { answer = resolve }))
    tell([groupOf('a')])
    await turns(1)
    stop()
    answer(pageOf([5]))
    await settled()
    await turns(2)
    expect([polls.length, noted.length, isListening()]).to.deep.equal([1, 0, false])
  })

  const loads = [{ groups: 1, events: 0 }, { groups: 19, events: 0 }, { groups: 300, events: 0 }, { groups: 19, events: 500 }]
  for (const { groups, events } of loads) {
    it(`keeps the byte budget at ${groups} groups and ${events} events a page, and gives each its turn`, async () => {
      const { clock, tell, polls, answers, stop } = createFixture()
      const names = Array.from({ length: groups }, (_, index) => `g${index}`)
      tell(names.map((name) => groupOf(name)))
      while (polls.length < groups * 2 + 1) {
        if (answers.length === 0) answers.push(pageOf(Array.from({ length: events }, (_, index) => index + 1)))
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

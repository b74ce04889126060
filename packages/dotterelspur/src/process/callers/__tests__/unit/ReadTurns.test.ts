import { expect } from 'chai'
import { ManualClock } from '../../../Clock.js'
import { ReadTurns, type TurnTaker } from '../../ReadTurns.js'

interface Reader extends TurnTaker {
  readonly name: string
  turns: number
  spentMs: number
}

interface World {
  readonly clock: ManualClock
  readonly turns: ReadTurns
  /** Runs what was deferred, once. */
  readonly tick: () => void
  readonly log: string[]
  readonly gaveWay: string[]
  /** A connection whose turns take `costMs` each, and which wants `wanted` of them. */
  readonly addReader: (name: string, costMs: number, wanted: number) => Reader
}

function createWorld (): World {
  const clock = new ManualClock()
  const deferred: Array<() => void> = []
  const turns = new ReadTurns(clock, (callback) => { deferred.push(callback) })
  const log: string[] = []
  const gaveWay: string[] = []
  const addReader = (name: string, costMs: number, wanted: number): Reader => {
    const reader: Reader = {
      name,
      turns: 0,
      spentMs: 0,
      takeTurn: () => {
        log.push(name)
        reader.turns += 1
        reader.spentMs += turns.spend(() => { clock.advance(costMs) })
        if (reader.turns < wanted) turns.add(reader)
      },
      giveWay: () => { gaveWay.push(name) }
    }
    turns.add(reader)
    return reader
  }
  return { clock, turns, tick: () => { for (const callback of deferred.splice(0)) callback() }, log, gaveWay, addReader }
}

describe('ReadTurns', () => {
  // Guards against a node that answers nobody while it parses bodies in chunks of a byte: one read of each of many connections takes seconds.
  it('lets other events be handled once its time is spent, and goes on where it was', () => {
    const { tick, log, addReader } = createWorld()
    for (const name of ['a', 'b', 'c', 'd']) addReader(name, 5, 2)
    tick()
    expect(log).to.deep.equal(['a', 'b'])
    tick()
    expect(log).to.deep.equal(['a', 'b', 'c', 'd'])
    tick()
    expect(log).to.deep.equal(['a', 'b', 'c', 'd', 'a', 'b'])
  })

  it('lets reads be parsed at once only while there is time, and renews it after other events', () => {
    const { clock, turns, tick } = createWorld()
    expect(turns.hasTime).to.equal(true)
    turns.spend(() => { clock.advance(9) })
    expect(turns.hasTime).to.equal(false)
    tick()
    expect(turns.hasTime).to.equal(true)
  })

  it('forgets a connection that is gone', () => {
    const { turns, tick, log, addReader } = createWorld()
    turns.remove(addReader('a', 5, 2))
    tick()
    expect([log, turns.size]).to.deep.equal([[], 0])
  })

  // Guards against work that outlasts the callers that caused it.
  it('closes the connection that has taken most once a backlog of many lasts for too long', () => {
    const { tick, gaveWay, addReader } = createWorld()
    for (let index = 0; index < 60; index++) addReader(`r${index}`, index === 40 ? 7 : 1, Infinity)
    for (let ticks = 0; ticks < 100; ticks++) tick()
    expect(gaveWay).to.deep.equal([])
    while (gaveWay.length === 0) tick()
    expect(gaveWay).to.deep.equal(['r40'])
  })

  // Guards against ordinary callers that are closed when many of them connect at once to a node with a part of a core.
  it('closes no connection whose requests take as long as usual ones', () => {
    const { tick, turns, gaveWay, addReader } = createWorld()
    for (let index = 0; index < 400; index++) addReader(`r${index}`, 5, 2)
    for (let ticks = 0; turns.size > 0 && ticks < 1_000; ticks++) tick()
    expect([turns.size, gaveWay]).to.deep.equal([0, []])
  })

  it('keeps a backlog of few connections for as long as it lasts', () => {
    const { tick, gaveWay, addReader } = createWorld()
    for (let index = 0; index < 30; index++) addReader(`r${index}`, 5, Infinity)
    for (let ticks = 0; ticks < 2_000; ticks++) tick()
    expect(gaveWay).to.deep.equal([])
  })
})

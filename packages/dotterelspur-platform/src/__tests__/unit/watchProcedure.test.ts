import { expect } from 'chai'
import { ManualClock, WatchEventKind, createRandom, failed, success, StoreErrorKind } from 'dotterelspur'
import { WatchLineKind } from '../../connection/WatchLine.js'
import type { WatchLine } from '../../connection/WatchLine.js'
import { WatchEffectKind, watchProcedure } from '../../connection/watchProcedure.js'
import { SeenVersions } from '../../process/SeenVersions.js'

const CLOSED: WatchLine = { kind: WatchLineKind.Closed }

function event (version: number, previousVersion?: number, key = 'a/1'): WatchLine {
  return { kind: WatchLineKind.Event, object: { key, version, body: {}, deleted: false }, previousVersion }
}

function heartbeat (prefixVersion: number): WatchLine {
  return { kind: WatchLineKind.Heartbeat, version: prefixVersion + 5, prefixVersion }
}

/** Runs the procedure with listings of the given versions (null: the store is down) and lines; returns the emitted events. */
function follow (listings: ReadonlyArray<number | null>, lines: readonly WatchLine[]): string[] {
  const emitted: string[] = []
  const procedure = watchProcedure('a/', { clock: new ManualClock(), random: createRandom(1), seen: new SeenVersions(10), silenceMs: 100, relistIntervalMs: 10_000 })
  const listed = [...listings]
  const remaining = [...lines]
  let reply: unknown
  for (;;) {
    const effect = procedure.next(reply).value
    reply = undefined
    if (effect.kind === WatchEffectKind.List) {
      const version = listed.shift()
      if (version === undefined) return emitted
      reply = version === null ? failed({ kind: StoreErrorKind.Unavailable, reason: 'down' }) : success({ objects: [], version })
    }
    if (effect.kind === WatchEffectKind.Open) reply = true
    if (effect.kind === WatchEffectKind.NextLine) reply = remaining.shift() ?? CLOSED
    if (effect.kind === WatchEffectKind.Emit) emitted.push(effect.event.kind === WatchEventKind.Object ? `object ${effect.event.object.version}` : effect.event.kind)
  }
}

interface Case {
  readonly name: string
  readonly listings: ReadonlyArray<number | null>
  readonly lines: readonly WatchLine[]
  readonly emitted: readonly string[]
}

const START = ['connected', 'listing'] as const

const CASES: readonly Case[] = [
  { name: 'events in order', listings: [5], lines: [event(6, 5), event(7, 6)], emitted: [...START, 'object 6', 'object 7', 'disconnected'] },
  { name: 'a skipped change detected by the next event', listings: [5, 9], lines: [event(6, 5), event(8, 7), CLOSED], emitted: [...START, 'object 6', 'listing', 'disconnected'] },
  { name: 'a skipped change detected by a heartbeat', listings: [5, 9], lines: [heartbeat(5), heartbeat(7), CLOSED], emitted: [...START, 'listing', 'disconnected'] },
  { name: 'a repeated event is emitted again, an older state is dropped', listings: [5], lines: [event(6, 5), event(7, 6), event(7, 6), event(6, 0)], emitted: [...START, 'object 6', 'object 7', 'object 7', 'disconnected'] },
  { name: 'the store no longer has the changes', listings: [5, 9], lines: [{ kind: WatchLineKind.Reset }, CLOSED], emitted: [...START, 'listing', 'disconnected'] },
  { name: 'a malformed line', listings: [5, 9], lines: [{ kind: WatchLineKind.Malformed }, CLOSED], emitted: [...START, 'listing', 'disconnected'] },
  { name: 'a timeout without any line counts as a lost stream', listings: [5, 9], lines: [{ kind: WatchLineKind.Silent }, CLOSED], emitted: [...START, 'disconnected', ...START, 'disconnected'] },
  { name: 'a store that is down for a while', listings: [5, null, null, 9], lines: [CLOSED, CLOSED], emitted: [...START, 'disconnected', ...START, 'disconnected'] },
  { name: 'a store that is down at the start', listings: [null, 9], lines: [CLOSED], emitted: [...START, 'disconnected'] }
]

describe('watchProcedure', () => {
  for (const { name, listings, lines, emitted } of CASES) {
    it(name, () => { expect(follow(listings, lines)).to.deep.equal(emitted) })
  }
})

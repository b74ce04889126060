import { WatchEventKind, perform } from 'dotterelspur'
import type { Clock, Effect, ObjectListing, Procedure, Random, Result, StoredObject, StoreError, WatchEvent } from 'dotterelspur'
import { WATCH_BACKOFF_BASE_MS, WATCH_BACKOFF_LIMIT_MS } from '../constants.js'
import type { SeenVersions } from '../process/SeenVersions.js'
import { backoffMs } from '../request/Backoff.js'
import { WatchLineKind } from './WatchLine.js'
import type { WatchLine } from './WatchLine.js'

export enum WatchEffectKind {
  List = 'list',
  Open = 'open',
  NextLine = 'next-line',
  Emit = 'emit',
  Wait = 'wait'
}

type ListEffect = { readonly kind: WatchEffectKind.List, readonly prefix: string } & Effect<WatchEffectKind.List, Result<ObjectListing<unknown>, StoreError>>
/** Opens the stream, and closes one that is open. The result is whether the stream was opened. */
type OpenEffect = { readonly kind: WatchEffectKind.Open, readonly prefix: string, readonly afterVersion: number } & Effect<WatchEffectKind.Open, boolean>
type NextLineEffect = { readonly kind: WatchEffectKind.NextLine, readonly timeoutMs: number } & Effect<WatchEffectKind.NextLine, WatchLine>
type EmitEffect = { readonly kind: WatchEffectKind.Emit, readonly event: WatchEvent<unknown> } & Effect<WatchEffectKind.Emit, void>
type WaitEffect = { readonly kind: WatchEffectKind.Wait, readonly durationMs: number } & Effect<WatchEffectKind.Wait, void>

export type WatchEffect = ListEffect | OpenEffect | NextLineEffect | EmitEffect | WaitEffect

export interface WatchContext {
  readonly clock: Clock
  readonly random: Random
  readonly seen: SeenVersions
  readonly silenceMs: number
  readonly relistIntervalMs: number
}

/** Why the procedure stopped following a stream. */
enum StreamEndReason {
  /** A change may be missing or the relist interval has passed, so the prefix must be listed again. The store is in contact. */
  Relist = 'relist',
  Lost = 'lost'
}

interface StreamResult {
  readonly end: StreamEndReason
  /** Whether at least one line was received. */
  readonly receivedLine: boolean
}

const BACKOFF = { baseMs: WATCH_BACKOFF_BASE_MS, limitMs: WATCH_BACKOFF_LIMIT_MS }

/**
 * Follows a prefix until it is stopped: lists it, then streams changes, and starts again when the stream ends.
 *
 * The watch stream may skip, repeat or reorder changes. A skipped change is detected by an event's `previousVersion`
 * or a heartbeat's `prefixVersion` that was not delivered, and the prefix is listed again. When the store sends
 * neither, the relist interval bounds how long a change can be missed. Events older than the observed state are dropped.
 */
export function * watchProcedure (prefix: string, context: WatchContext): Procedure<WatchEffect, never> {
  let failures = 0
  let connected = false
  for (;;) {
    const listing = yield * perform<ListEffect>({ kind: WatchEffectKind.List, prefix })
    let result: StreamResult = { end: StreamEndReason.Lost, receivedLine: false }
    if (listing.ok) {
      if (!connected) yield * emit({ kind: WatchEventKind.Connected })
      connected = true
      yield * emit({ kind: WatchEventKind.Listing, listing: listing.value })
      result = yield * followStream(prefix, listing.value.version, context)
    }
    if (result.receivedLine) failures = 0
    if (connected && result.end === StreamEndReason.Lost) {
      connected = false
      yield * emit({ kind: WatchEventKind.Disconnected })
    }
    yield * perform<WaitEffect>({ kind: WatchEffectKind.Wait, durationMs: backoffMs(failures, BACKOFF, context.random) })
    if (result.end === StreamEndReason.Lost) failures++
  }
}

function * followStream (prefix: string, listedVersion: number, context: WatchContext): Procedure<WatchEffect, StreamResult> {
  const relistAtMs = context.clock.nowMs() + context.relistIntervalMs
  const opened = yield * perform<OpenEffect>({ kind: WatchEffectKind.Open, prefix, afterVersion: listedVersion })
  let deliveredVersion = listedVersion
  let receivedLine = false
  if (!opened) return { end: StreamEndReason.Lost, receivedLine }
  for (;;) {
    const line = yield * perform<NextLineEffect>({ kind: WatchEffectKind.NextLine, timeoutMs: context.silenceMs })
    if (line.kind === WatchLineKind.Closed || line.kind === WatchLineKind.Silent) return { end: StreamEndReason.Lost, receivedLine }
    receivedLine = true
    if (line.kind === WatchLineKind.Reset || line.kind === WatchLineKind.Malformed) return { end: StreamEndReason.Relist, receivedLine }
    if (missedVersion(line) > deliveredVersion || context.clock.nowMs() >= relistAtMs) return { end: StreamEndReason.Relist, receivedLine }
    if (line.kind !== WatchLineKind.Event) continue
    deliveredVersion = Math.max(deliveredVersion, line.object.version)
    if (isCurrent(line.object, context.seen)) yield * emit({ kind: WatchEventKind.Object, object: line.object })
  }
}

/** The version that must have been delivered before this line, or a change was skipped. */
function missedVersion (line: WatchLine): number {
  if (line.kind === WatchLineKind.Heartbeat) return line.prefixVersion
  if (line.kind === WatchLineKind.Event) return line.previousVersion ?? 0
  return 0
}

function isCurrent (object: StoredObject<unknown>, seen: SeenVersions): boolean {
  return seen.record(object) === object
}

function * emit (event: WatchEvent<unknown>): Procedure<WatchEffect, void> {
  yield * perform<EmitEffect>({ kind: WatchEffectKind.Emit, event })
}

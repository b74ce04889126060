import type { NodeId } from '../../process/ids.js'
import { type HeartbeatFrame, type EvidenceBody, EvidenceKind, FrameKind, type FullEvidence, type LoadUpdate } from './Frame.js'
import { type GossipLink, EVIDENCE_INDEX_LIMIT } from './GossipLink.js'
import { LinkScope } from './OverlayPlan.js'
import { type EvidenceRecord, EvidenceSource, type EvidenceUpdate } from './PresenceTable.js'

const PERCENT = 100

/** What goes into a beat besides the link's own numbers. */
export interface HeartbeatContent {
  readonly membersDigest: number
  readonly documentsDigest: number
  /** When the store was last heard, on this node's clock; -Infinity for never. */
  readonly storeContactMs: number
}

/** Composes the beat for a link, with those of `lines` that are fresher than what was sent on it before. */
export function composeHeartbeat (link: GossipLink, lines: readonly EvidenceRecord[], content: HeartbeatContent, nowMs: number): HeartbeatFrame {
  const full: FullEvidence[] = []
  const short: LoadUpdate[] = []
  const echo = link.echo(nowMs)
  // Before anything can be echoed the peer could not date the lines, and would leave them out as if never sent.
  const datable = echo.sequence > 0
  for (const line of datable ? lines : []) {
    const sent = link.sentEvidence.get(line.key)
    if (sent !== undefined && sent.originMs >= line.originMs && sent.body === line.body) continue
    if (sent !== undefined && differsInLoadOnly(sent.body, line.body)) {
      short.push(composeLoadUpdate(sent.index, line, nowMs))
      link.sentEvidence.set(line.key, { ...sent, originMs: line.originMs })
    } else {
      const index = sent?.index ?? link.sentEvidence.size
      if (index >= EVIDENCE_INDEX_LIMIT) continue
      full.push({ index, watcher: line.watcher, body: withAge(line.body, Math.ceil(nowMs - line.originMs)) })
      link.sentEvidence.set(line.key, { index, body: line.body, originMs: line.originMs })
    }
  }
  return {
    kind: FrameKind.Beat,
    sequence: link.nextSequence(nowMs),
    echoSequence: echo.sequence,
    echoHeldMs: echo.heldMs,
    membersDigest: content.membersDigest,
    documentsDigest: content.documentsDigest,
    storeAgeMs: content.storeContactMs === -Infinity ? -1 : Math.ceil(nowMs - content.storeContactMs),
    full,
    short
  }
}

/** What a beat says, with its ages placed on this node's clock. */
export interface ReceivedHeartbeat {
  readonly updates: readonly EvidenceUpdate[]
  readonly storeContactMs: number
}

/** Reads a beat that arrived on `link`. Lines that can't be dated, or have no name yet, are left out: the next beat brings them. */
export function readHeartbeat (link: GossipLink, beat: HeartbeatFrame, nowMs: number): ReceivedHeartbeat {
  for (const line of beat.full) {
    if (line.index < EVIDENCE_INDEX_LIMIT) link.receivedEvidence.set(line.index, { watcher: line.watcher, body: line.body })
  }
  link.noteReceived(beat.sequence, nowMs)
  const composedAfterMs = link.composedAfterMs(beat.echoSequence, beat.echoHeldMs)
  if (composedAfterMs === undefined) return { updates: [], storeContactMs: -Infinity }
  const updates = link.scope === LinkScope.OtherRegion ? [] : dateEvidence(link, beat, composedAfterMs)
  return { updates, storeContactMs: beat.storeAgeMs < 0 ? -Infinity : composedAfterMs - beat.storeAgeMs }
}

function dateEvidence (link: GossipLink, beat: HeartbeatFrame, composedAfterMs: number): EvidenceUpdate[] {
  const source = link.scope === LinkScope.Cell ? EvidenceSource.Cell : EvidenceSource.OtherCell
  const updates: EvidenceUpdate[] = beat.full.map((line) =>
    ({ watcher: line.watcher, body: line.body, originMs: composedAfterMs - line.body.presence.ageMs, source }))
  for (const line of beat.short) {
    const named = link.receivedEvidence.get(line.index)
    if (named === undefined) continue
    updates.push({ watcher: named.watcher, body: withLoad(named.body, line), originMs: composedAfterMs - line.ageMs, source })
  }
  return updates
}

function composeLoadUpdate (index: number, line: EvidenceRecord, nowMs: number): LoadUpdate {
  const { load } = line.body.presence
  return {
    index,
    ageMs: Math.ceil(nowMs - line.originMs),
    running: load.running,
    waiting: load.waiting,
    cachePercent: Math.round(load.cacheUsed * PERCENT),
    loadAgeMs: Math.ceil(load.ageMs)
  }
}

function withAge (body: EvidenceBody, ageMs: number): EvidenceBody {
  if (body.kind === EvidenceKind.Group) return { kind: body.kind, presence: { ...body.presence, ageMs } }
  return { kind: body.kind, presence: { ...body.presence, ageMs } }
}

function withLoad (body: EvidenceBody, line: LoadUpdate): EvidenceBody {
  const load = { ...body.presence.load, running: line.running, waiting: line.waiting, cacheUsed: line.cachePercent / PERCENT, ageMs: line.loadAgeMs }
  if (body.kind === EvidenceKind.Group) return { kind: body.kind, presence: { ...body.presence, load } }
  return { kind: body.kind, presence: { ...body.presence, load } }
}

function differsInLoadOnly (sent: EvidenceBody, now: EvidenceBody): boolean {
  if (sent.presence.load.capacity !== now.presence.load.capacity) return false
  if (sent.presence.leaving !== now.presence.leaving) return false
  if (sent.kind === EvidenceKind.Group && now.kind === EvidenceKind.Group) {
    return sent.presence.formation === now.presence.formation && sent.presence.complete === now.presence.complete
  }
  if (sent.kind === EvidenceKind.Service && now.kind === EvidenceKind.Service) {
    return sent.presence.incarnation === now.presence.incarnation && sent.presence.present === now.presence.present && sent.presence.address === now.presence.address
  }
  return false
}

/**
 * Whether a line goes out on a link. A watcher's own lines go to its cell and to one relay in each other
 * cell; a relay passes what came from another cell on to its own cell; nothing goes further. So each line
 * reaches each node of the region once, in at most two hops.
 */
export function isSentOn (line: EvidenceRecord, link: GossipLink, relays: ReadonlySet<NodeId>): boolean {
  if (line.source === EvidenceSource.Cell) return false
  if (link.scope === LinkScope.Cell) return true
  return link.scope === LinkScope.OtherCell && line.source === EvidenceSource.Own && relays.has(link.peer)
}

import type { NodeId } from '../../process/ids.js'
import { type HeartbeatFrame, type EvidenceBody, EvidenceKind, FrameKind, type FullEvidence, type LoadUpdate } from './Frame.js'
import { type GossipLink, EVIDENCE_INDEX_LIMIT } from './GossipLink.js'
import { LinkScope } from './OverlayPlan.js'
import { type EvidenceRecord, EvidenceSource, type EvidenceUpdate } from './PresenceTable.js'

const PERCENT = 100

/** The content of a heartbeat apart from the sequence numbers of its link. */
export interface HeartbeatContent {
  readonly membersDigest: number
  readonly documentsDigest: number
  /** Time of the last contact with the store, on this node's clock; -Infinity if there was none. */
  readonly storeContactMs: number
}

/** Composes the heartbeat for a link, with those of `records` that are newer than what was sent on the link before. */
export function composeHeartbeat (link: GossipLink, records: readonly EvidenceRecord[], content: HeartbeatContent, nowMs: number): HeartbeatFrame {
  const full: FullEvidence[] = []
  const short: LoadUpdate[] = []
  const echo = link.echo(nowMs)
  // A heartbeat that echoes nothing gives the peer no time reference: it would discard the evidence, which this node
  // would count as sent.
  const canBeDated = echo.sequence > 0
  for (const record of canBeDated ? records : []) {
    const sent = link.sentEvidence.get(record.key)
    if (sent !== undefined && sent.originMs >= record.originMs && sent.body === record.body) continue
    if (sent !== undefined && differsInLoadOnly(sent.body, record.body)) {
      short.push(composeLoadUpdate(sent.index, record, nowMs))
      link.sentEvidence.set(record.key, { ...sent, originMs: record.originMs })
    } else {
      const index = sent?.index ?? link.sentEvidence.size
      if (index >= EVIDENCE_INDEX_LIMIT) continue
      full.push({ index, watcher: record.watcher, body: withAge(record.body, Math.ceil(nowMs - record.originMs)) })
      link.sentEvidence.set(record.key, { index, body: record.body, originMs: record.originMs })
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

/** The content of a received heartbeat, with its ages converted to times on this node's clock. */
export interface ReceivedHeartbeat {
  readonly updates: readonly EvidenceUpdate[]
  readonly storeContactMs: number
  /** Earliest time at which the peer can have composed it; -Infinity if that can't be determined. */
  readonly composedAfterMs: number
}

/**
 * Reads a heartbeat received on `link`. Skips evidence whose time can't be determined, and load updates whose index is
 * not yet assigned; the next heartbeat contains them.
 */
export function readHeartbeat (link: GossipLink, heartbeat: HeartbeatFrame, nowMs: number): ReceivedHeartbeat {
  for (const record of heartbeat.full) {
    if (record.index < EVIDENCE_INDEX_LIMIT) link.receivedEvidence.set(record.index, { watcher: record.watcher, body: record.body })
  }
  link.noteReceived(heartbeat.sequence, nowMs)
  const composedAfterMs = link.composedAfterMs(heartbeat.echoSequence, heartbeat.echoHeldMs)
  if (composedAfterMs === undefined) return { updates: [], storeContactMs: -Infinity, composedAfterMs: -Infinity }
  const updates = link.scope === LinkScope.OtherRegion ? [] : dateEvidence(link, heartbeat, composedAfterMs)
  return { updates, storeContactMs: heartbeat.storeAgeMs < 0 ? -Infinity : composedAfterMs - heartbeat.storeAgeMs, composedAfterMs }
}

function dateEvidence (link: GossipLink, heartbeat: HeartbeatFrame, composedAfterMs: number): EvidenceUpdate[] {
  const source = link.scope === LinkScope.Cell ? EvidenceSource.Cell : EvidenceSource.OtherCell
  const updates: EvidenceUpdate[] = heartbeat.full.map((record) =>
    ({ watcher: record.watcher, body: record.body, originMs: composedAfterMs - record.body.presence.ageMs, source }))
  for (const record of heartbeat.short) {
    const received = link.receivedEvidence.get(record.index)
    if (received === undefined) continue
    updates.push({ watcher: received.watcher, body: withLoad(received.body, record), originMs: composedAfterMs - record.ageMs, source })
  }
  return updates
}

function composeLoadUpdate (index: number, record: EvidenceRecord, nowMs: number): LoadUpdate {
  const { load } = record.body.presence
  return {
    index,
    ageMs: Math.ceil(nowMs - record.originMs),
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

function withLoad (body: EvidenceBody, record: LoadUpdate): EvidenceBody {
  const load = { ...body.presence.load, running: record.running, waiting: record.waiting, cacheUsed: record.cachePercent / PERCENT, ageMs: record.loadAgeMs }
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
 * Whether an evidence record is sent on a link. A watcher sends its own records to its cell and to one relay in each
 * other cell; a relay forwards records from other cells to its own cell; no record is forwarded further. So each
 * record reaches each node of the region once, in at most two hops.
 */
export function isSentOn (record: EvidenceRecord, link: GossipLink, relays: ReadonlySet<NodeId>): boolean {
  if (record.source === EvidenceSource.Cell) return false
  if (link.scope === LinkScope.Cell) return true
  return link.scope === LinkScope.OtherCell && record.source === EvidenceSource.Own && relays.has(link.peer)
}

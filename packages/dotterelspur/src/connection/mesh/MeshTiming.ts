import { DEFAULT_EVIDENCE_TTL_MS, DEFAULT_GOSSIP_INTERVAL_MS } from '../../process/TimingDefaults.js'

/** Intervals and timeouts of the mesh, in milliseconds. */
export interface MeshTiming {
  /** Time between two heartbeats on one link. */
  readonly heartbeatIntervalMs: number
  /** A neighbour silent for this long is probed indirectly through other nodes. */
  readonly silenceMs: number
  /**
   * A relay silent for this long is bypassed: evidence can't wait until the relay is declared dead, and bypassing a
   * working relay only sends some evidence records twice.
   */
  readonly relaySilenceMs: number
  /** If no indirect probe is confirmed within this time, the neighbour becomes suspect. */
  readonly indirectProbeMs: number
  /** A planned neighbour to which no link was established for this long is probed indirectly through other nodes. */
  readonly connectGraceMs: number
  /** A suspect that does not refute within this time is dead. */
  readonly suspicionMs: number
  /** A link whose peer was silent for this long is closed. */
  readonly linkTimeoutMs: number
  /** Records of dead and left nodes are kept for this long. */
  readonly tombstoneMs: number
  /** Backoff after the first failed dial; doubles with each failure up to `dialBackoffMaxMs`, with jitter. */
  readonly dialBackoffMinMs: number
  readonly dialBackoffMaxMs: number
  /** The peer with the higher node id dials only after this long, so that pairs seldom dial each other at once. */
  readonly dialDeferMs: number
  /** A dial that has not established a link within this time has failed. */
  readonly dialTimeoutMs: number
  /** Time between two attempts to reach a node that is dead or known only from its stored object. */
  readonly rejoinIntervalMs: number
  /** A link that is not in the overlay plan is closed by its dialer after this long. */
  readonly unwantedLinkMs: number
  /** A document that a peer did not deliver within this time is requested from another peer. */
  readonly documentFetchTimeoutMs: number
  /** Digests that differ for this long start a comparison. */
  readonly mismatchGraceMs: number
  /** Minimum time between two comparisons of the same kind by one node. */
  readonly syncIntervalMs: number
  /** Evidence older than this is removed; longer than the evidence TTL so that expired evidence can still be reported. */
  readonly evidenceRetentionMs: number
  /** A gap of this length between two ticks counts as a pause of this process: silence of peers during it proves nothing. */
  readonly ownPauseMs: number
}

/** Limits on the mesh's state and links. */
export interface MeshLimits {
  /** Maximum number of nodes in a cell, which form a full mesh; a larger failure domain is split into cells. */
  readonly cellSize: number
  /** Gossip links, whether in the overlay plan or not. */
  readonly links: number
  /** Links that each region dials to each other region. */
  readonly linksPerRegionPair: number
  readonly documents: number
  /** Deleted documents kept; the rest of `documents` is for current ones. */
  readonly deletions: number
  readonly members: number
  /** Evidence records held, of all watchers. */
  readonly evidenceRecords: number
  /** Entries of a list in one frame. */
  readonly entriesPerFrame: number
}

const MINUTE_MS = 60_000

export const DEFAULT_MESH_TIMING: MeshTiming = {
  heartbeatIntervalMs: DEFAULT_GOSSIP_INTERVAL_MS,
  silenceMs: 1_500,
  relaySilenceMs: 1.5 * DEFAULT_GOSSIP_INTERVAL_MS,
  indirectProbeMs: 1_000,
  connectGraceMs: 20_000,
  suspicionMs: 4_000,
  linkTimeoutMs: 6_000,
  tombstoneMs: 60 * MINUTE_MS,
  dialBackoffMinMs: 200,
  dialBackoffMaxMs: 10_000,
  dialDeferMs: 1_000,
  dialTimeoutMs: 5_000,
  rejoinIntervalMs: 5_000,
  unwantedLinkMs: 15_000,
  documentFetchTimeoutMs: 1_000,
  mismatchGraceMs: 1_200,
  syncIntervalMs: 500,
  evidenceRetentionMs: 4 * DEFAULT_EVIDENCE_TTL_MS,
  ownPauseMs: 500
}

const RELAY_SILENCE_HEARTBEATS = 1.5
const SILENCE_HEARTBEATS = 3

/** Default timing with overrides. Silence thresholds without an override scale with the heartbeat interval: they must outlast one lost heartbeat. */
export function createMeshTiming (overrides: Partial<MeshTiming> = {}): MeshTiming {
  const heartbeatIntervalMs = overrides.heartbeatIntervalMs ?? DEFAULT_MESH_TIMING.heartbeatIntervalMs
  return { ...DEFAULT_MESH_TIMING, relaySilenceMs: RELAY_SILENCE_HEARTBEATS * heartbeatIntervalMs, silenceMs: SILENCE_HEARTBEATS * heartbeatIntervalMs, ...overrides }
}

export const DEFAULT_MESH_LIMITS: MeshLimits = {
  cellSize: 16,
  links: 96,
  linksPerRegionPair: 2,
  documents: 20_000,
  deletions: 4_096,
  members: 8_192,
  evidenceRecords: 8_192,
  entriesPerFrame: 512
}

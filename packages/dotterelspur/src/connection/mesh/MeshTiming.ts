import { DEFAULT_EVIDENCE_TTL_MS, DEFAULT_GOSSIP_INTERVAL_MS } from '../../process/TimingDefaults.js'

/** The mesh's times, in milliseconds. */
export interface MeshTiming {
  /** Time between two beats on one link. */
  readonly heartbeatIntervalMs: number
  /** A neighbour silent for this long is asked about through others. */
  readonly silenceMs: number
  /** A relay silent for this long is passed over: evidence may not wait until it is known to be dead, and a relay passed over in error costs only some lines sent twice. */
  readonly relaySilenceMs: number
  /** Without word through others for this long more, the neighbour becomes suspect. */
  readonly indirectProbeMs: number
  /** A wanted neighbour to which no link could be made for this long is asked about through others. */
  readonly connectGraceMs: number
  /** A suspect that does not refute within this time is dead. */
  readonly suspicionMs: number
  /** A link is closed when its peer was silent for this long. */
  readonly linkTimeoutMs: number
  /** Records of dead and left nodes are kept for this long. */
  readonly tombstoneMs: number
  /** First wait before a failed dial is repeated; doubles up to `dialBackoffMaxMs`, each drawn with jitter. */
  readonly dialBackoffMinMs: number
  readonly dialBackoffMaxMs: number
  /** The peer with the higher node id dials only after this long, so that pairs seldom dial each other at once. */
  readonly dialDeferMs: number
  /** A dial that has not become a link by then has failed. */
  readonly dialTimeoutMs: number
  /** Time between two tries to reach a node that is dead or only known from its object. */
  readonly rejoinIntervalMs: number
  /** A link that the plan does not want is closed by its dialer after this long. */
  readonly unwantedLinkMs: number
  /** A document that was asked of one peer and did not come is asked of another after this long. */
  readonly documentFetchTimeoutMs: number
  /** Digests that differ for this long start a comparison. */
  readonly mismatchGraceMs: number
  /** Least time between two comparisons of the same sort by one node. */
  readonly syncIntervalMs: number
  /** Evidence older than this is forgotten; longer than the evidence TTL so that its end can be seen. */
  readonly evidenceRetentionMs: number
  /** A gap of this length between two ticks is a pause of this process itself: silence during it proves nothing. */
  readonly ownPauseMs: number
}

/** Bounds of the mesh's state and links. */
export interface MeshLimits {
  /** Nodes of one cell form a full mesh; a failure domain with more is cut into cells. */
  readonly cellSize: number
  /** Links for gossip, wanted or not. */
  readonly links: number
  /** Links from each region to each other one. */
  readonly linksPerRegionPair: number
  readonly documents: number
  /** Deleted documents remembered; the rest of `documents` is for living ones. */
  readonly deletions: number
  readonly members: number
  /** Evidence lines held, of all watchers. */
  readonly evidenceRecords: number
  /** Entries in one frame of any list. */
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

/** The times with some of them set. Silences that are not set follow the beat: they must outlast a lost one. */
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

/**
 * Intervals and timeouts on which several packages depend, in milliseconds. Each is a default of the node's settings,
 * which docs/SETTINGS.md lists. The comments state the relations between them that must be kept.
 */

/** Time between two probes of one VM by one watcher. */
export const DEFAULT_PROBE_INTERVAL_MS = 500
/** A probe without a response within this time has failed. */
export const DEFAULT_PROBE_TIMEOUT_MS = 700
/**
 * Presence evidence older than this, counted from when the probe was sent, is not used. This is the specified detection
 * window: more than the sum of one probe interval, one probe timeout and two relay hops.
 */
export const DEFAULT_EVIDENCE_TTL_MS = 2_500
/** Time between two heartbeats on one mesh link. */
export const DEFAULT_GOSSIP_INTERVAL_MS = 500
/** Lease time to live, on each observer's own clock. */
export const DEFAULT_LEASE_TTL_MS = 6_000
/** Time between two renewals by the lease holder. */
export const DEFAULT_LEASE_RENEW_MS = 1_500
/** The lease holder stops sending orders this long before its own TTL ends. */
export const DEFAULT_LEASE_MARGIN_MS = 1_500
/** The longest time that an order can be in flight: the sum of its connection and send timeouts. */
export const DEFAULT_ORDER_TIMEOUT_MS = 1_500
/** A gap of this length in a node's event loop counts as a pause: its leases are presumed lost. */
export const DEFAULT_PAUSE_THRESHOLD_MS = 1_000
/** An accepted configuration is in force on every node within this time; a node that can't confirm for longer that its configuration is current takes no new work. */
export const DEFAULT_IN_FORCE_BOUND_MS = 11_000
/** How long a home keeps the outcome of a request id. */
export const DEFAULT_OUTCOME_MEMORY_MS = 15 * 60_000
/** How long a caller may cache a response of the directory. */
export const DEFAULT_DIRECTORY_TTL_MS = 10_000

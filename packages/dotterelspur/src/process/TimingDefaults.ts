/**
 * The times that several packages must agree on, in milliseconds. Each is a default of the node's settings;
 * docs/SETTINGS.md lists them. The comments give the relation that must be kept.
 */

/** Time between two probes of one VM by one watcher. */
export const DEFAULT_PROBE_INTERVAL_MS = 500
/** A probe without an answer by then has failed. */
export const DEFAULT_PROBE_TIMEOUT_MS = 700
/**
 * Presence evidence older than this, counted from when the probe was asked, serves nothing. This is the stated
 * detection window: more than one probe interval, one probe timeout and two relay hops together.
 */
export const DEFAULT_EVIDENCE_TTL_MS = 2_500
/** Time between two exchanges on one mesh link. */
export const DEFAULT_GOSSIP_INTERVAL_MS = 500
/** Lease time to live, on each observer's own clock. */
export const DEFAULT_LEASE_TTL_MS = 6_000
/** A holder renews this often. */
export const DEFAULT_LEASE_RENEW_MS = 1_500
/** A holder stops ordering this long before its own TTL ends. */
export const DEFAULT_LEASE_MARGIN_MS = 1_500
/** The longest time an order can be under way: its connection and send timeouts together. */
export const DEFAULT_ORDER_TIMEOUT_MS = 1_500
/** A gap of this length in a node's own event loop counts as a pause: its leases are presumed lost. */
export const DEFAULT_PAUSE_THRESHOLD_MS = 1_000
/** An accepted configuration is in force on every node within this time; a node that can't know that it is current for longer takes no new work. */
export const DEFAULT_IN_FORCE_BOUND_MS = 11_000
/** How long a home remembers the outcome of a request id. */
export const DEFAULT_OUTCOME_MEMORY_MS = 15 * 60_000
/** How long a caller may keep a directory answer. */
export const DEFAULT_DIRECTORY_TTL_MS = 10_000

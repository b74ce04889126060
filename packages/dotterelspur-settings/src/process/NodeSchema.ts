import { z } from 'zod'
import {
  DEFAULT_DIRECTORY_TTL_MS, DEFAULT_EVIDENCE_TTL_MS, DEFAULT_GOSSIP_INTERVAL_MS, DEFAULT_IN_FORCE_BOUND_MS,
  DEFAULT_LEASE_MARGIN_MS, DEFAULT_MACHINE, DEFAULT_LEASE_RENEW_MS, DEFAULT_LEASE_TTL_MS, DEFAULT_ORDER_TIMEOUT_MS,
  DEFAULT_OUTCOME_MEMORY_MS, DEFAULT_PAUSE_THRESHOLD_MS, DEFAULT_PROBE_INTERVAL_MS, DEFAULT_PROBE_TIMEOUT_MS
} from 'dotterelspur'
import { defineSection, type SectionSpec } from './SectionSpec.js'
import {
  ID_ACCEPTS, enumValue, durationMs, filePath, hostPort, hostPortList, httpUrl, identifier, integer, ipAddress, port,
  readIdentifier, secret, sizeBytes
} from './values.js'

/** Whether the endpoints of a failure domain reject orders with an outdated fencing number. */
export enum FencingMode {
  Checked = 'checked',
  Ignored = 'ignored'
}

/** Who may read `/metrics`. */
export enum MetricsAccess {
  /** Holders of the operators' token. */
  Token = 'token',
  /** Anyone who reaches the listener. */
  Open = 'open'
}

const KIB = 1_024
const MIB = 1_048_576

export const nodeSection = defineSection({
  keyword: 'node',
  arguments: [],
  required: true,
  description: 'The identity and the location of this node.',
  schema: z.object({
    id: identifier().describe('Unique among all nodes; part of request ids.'),
    region: identifier().describe('The region of the VM.'),
    failureDomain: identifier().describe('The failure domain of the VM.'),
    host: ipAddress().describe('The address that all listeners bind to and that is advertised to callers and peers.')
  }),
  relations: []
})

export const entrySection = defineSection({
  keyword: 'entry',
  arguments: [],
  required: false,
  description: 'The callers\' listener.',
  schema: z.object({
    port: port().default(8080).describe('Port of the callers\' listener.'),
    maxBodyBytes: sizeBytes(KIB, 64 * MIB).default(4 * MIB).describe('A larger request body is rejected.'),
    maxHeaderBytes: sizeBytes(KIB, 256 * KIB).default(16 * KIB).describe('Larger request headers are rejected.'),
    maxConnections: integer(1, 100_000).default(4_096).describe('Maximum number of open connections; further ones are closed immediately.'),
    requestTimeoutMs: durationMs(100, 600_000).default(15_000).describe('A request that has not been received completely within this time is aborted.'),
    slowClientTimeoutMs: durationMs(100, 600_000).default(15_000).describe('A client that reads nothing of its response for this long is disconnected.')
  }),
  relations: []
})

export const meshSection = defineSection({
  keyword: 'mesh',
  arguments: [],
  required: true,
  description: 'The listener for other nodes. Either a shared key (plain, on loopback only), or the three files for mutual TLS.',
  schema: z.object({
    port: port().default(8081).describe('Port of the listener for other nodes.'),
    advertise: hostPort().optional().describe('Address advertised to other nodes, where it differs from the listener\'s.'),
    seeds: hostPortList().default([]).describe('Peers to connect to when the platform can\'t be reached at start.'),
    sharedKey: secret().optional().describe('Key shared by all nodes.'),
    sharedKeyFile: filePath().optional().describe('File that holds the shared key.'),
    certificateFile: filePath().optional().describe('This node\'s certificate, PEM.'),
    keyFile: filePath().optional().describe('The certificate\'s private key, PEM.'),
    authorityFile: filePath().optional().describe('Certificate of the authority that signed every node\'s certificate, PEM.')
  }),
  relations: [{
    key: 'shared-key',
    rule: 'exactly one of shared-key and shared-key-file, or all of certificate-file, key-file and authority-file',
    holds: (mesh) => {
      const shared = [mesh.sharedKey, mesh.sharedKeyFile].filter((value) => value !== undefined).length
      const files = [mesh.certificateFile, mesh.keyFile, mesh.authorityFile].filter((value) => value !== undefined).length
      return (shared === 1 && files === 0) || (shared === 0 && files === 3)
    }
  }]
})

export const adminSection = defineSection({
  keyword: 'admin',
  arguments: [],
  required: true,
  description: 'The operators\' listener.',
  schema: z.object({
    port: port().default(8082).describe('Port of the operators\' listener.'),
    token: secret().optional().describe('The token of the fleet\'s operators.'),
    tokenFile: filePath().optional().describe('File that holds the token.'),
    metrics: enumValue(Object.values(MetricsAccess)).default(MetricsAccess.Token).describe('Who may read /metrics: holders of the token, or anyone who reaches the listener.'),
    maxConnections: integer(1, 10_000).default(256).describe('Maximum number of open connections.')
  }),
  relations: [{
    key: 'token',
    rule: 'exactly one of token and token-file',
    holds: (admin) => (admin.token === undefined) !== (admin.tokenFile === undefined)
  }]
})

export const platformSection = defineSection({
  keyword: 'platform',
  arguments: [],
  required: true,
  description: 'The platform\'s object API and list of VMs.',
  schema: z.object({
    url: httpUrl().describe('Base URL.'),
    token: secret().optional().describe('Bearer token, where the platform requires one.'),
    tokenFile: filePath().optional().describe('File that holds the token.'),
    timeoutMs: durationMs(50, 60_000).default(2_000).describe('A call without a response within this time is verified by a read or retried.'),
    watchTimeoutMs: durationMs(1_000, 600_000).default(30_000).describe('A watch that delivers nothing for this long is reopened.'),
    vmListIntervalMs: durationMs(100, 60_000).default(1_000).describe('Interval between two reads of the list of VMs.')
  }),
  relations: [{
    key: 'token',
    rule: 'at most one of token and token-file',
    holds: (platform) => platform.token === undefined || platform.tokenFile === undefined
  }]
})

const fencingDescription = 'Whether endpoints reject orders with an outdated fencing number. With `ignored`, a new lease holder first waits until no order of an earlier holder can be in progress.'

export const endpointsSection = defineSection({
  keyword: 'endpoints',
  arguments: [],
  required: false,
  description: 'Behavior of all endpoints, unless a section for their failure domain overrides it.',
  schema: z.object({
    fencing: enumValue(Object.values(FencingMode)).default(FencingMode.Ignored).describe(fencingDescription)
  }),
  relations: []
})

export const domainEndpointsSection = defineSection({
  keyword: 'endpoints',
  arguments: [{ name: 'failure domain', accepts: ID_ACCEPTS, read: readIdentifier }],
  required: false,
  description: 'Behavior of the endpoints of one failure domain.',
  schema: z.object({
    fencing: enumValue(Object.values(FencingMode)).describe(fencingDescription)
  }),
  relations: []
})

export const timingSection = defineSection({
  keyword: 'timing',
  arguments: [],
  required: false,
  description: 'Times that must be the same on every node.',
  schema: z.object({
    probeIntervalMs: durationMs(20, 10_000).default(DEFAULT_PROBE_INTERVAL_MS).describe('Interval between two probes of one VM by one node.'),
    probeTimeoutMs: durationMs(20, 10_000).default(DEFAULT_PROBE_TIMEOUT_MS).describe('A probe without a response within this time has failed.'),
    evidenceTtlMs: durationMs(100, 60_000).default(DEFAULT_EVIDENCE_TTL_MS).describe('Presence evidence older than this is not used for serving: the window for detecting failures.'),
    gossipIntervalMs: durationMs(20, 10_000).default(DEFAULT_GOSSIP_INTERVAL_MS).describe('Interval between two gossip exchanges on one link between nodes.'),
    leaseTtlMs: durationMs(500, 60_000).default(DEFAULT_LEASE_TTL_MS).describe('A lease that an observer has not seen renewed for this long, on its own clock, may be taken over.'),
    leaseRenewMs: durationMs(100, 30_000).default(DEFAULT_LEASE_RENEW_MS).describe('Interval at which a holder renews its lease.'),
    leaseMarginMs: durationMs(50, 30_000).default(DEFAULT_LEASE_MARGIN_MS).describe('A holder stops sending orders this long before its lease expires on its own clock.'),
    orderTimeoutMs: durationMs(50, 30_000).default(DEFAULT_ORDER_TIMEOUT_MS).describe('Maximum duration of an order.'),
    pauseThresholdMs: durationMs(100, 30_000).default(DEFAULT_PAUSE_THRESHOLD_MS).describe('A gap of this length in the node\'s own event loop counts as a pause: its leases are presumed lost.'),
    inForceBoundMs: durationMs(1_000, 600_000).default(DEFAULT_IN_FORCE_BOUND_MS).describe('A node that has been unable to verify for this long that its state is current takes no new work.'),
    outcomeMemoryMs: durationMs(1_000, 86_400_000).default(DEFAULT_OUTCOME_MEMORY_MS).describe('How long the outcome of a request id is kept.'),
    directoryTtlMs: durationMs(100, 600_000).default(DEFAULT_DIRECTORY_TTL_MS).describe('How long a caller may cache a directory response.')
  }),
  relations: [{
    key: 'evidence-ttl-ms',
    rule: 'more than the sum of probe-interval-ms and probe-timeout-ms, or the evidence of complete groups would expire between probes',
    holds: (timing) => timing.evidenceTtlMs > timing.probeIntervalMs + timing.probeTimeoutMs
  }, {
    key: 'lease-margin-ms',
    rule: 'the sum with lease-renew-ms less than lease-ttl-ms, or a holder would stop sending orders between renewals',
    holds: (timing) => timing.leaseRenewMs + timing.leaseMarginMs < timing.leaseTtlMs
  }, {
    key: 'order-timeout-ms',
    rule: 'at most lease-margin-ms, or an order could outlast the lease under which it was sent',
    holds: (timing) => timing.orderTimeoutMs <= timing.leaseMarginMs
  }, {
    key: 'pause-threshold-ms',
    rule: 'less than lease-ttl-ms, or a pause could outlast a lease undetected',
    holds: (timing) => timing.pauseThresholdMs < timing.leaseTtlMs
  }, {
    key: 'gossip-interval-ms',
    rule: 'less than evidence-ttl-ms, or evidence would have expired when it arrives',
    holds: (timing) => timing.gossipIntervalMs < timing.evidenceTtlMs
  }, {
    key: 'lease-ttl-ms',
    rule: 'less than in-force-bound-ms, or a lost holder would outlast the bound',
    holds: (timing) => timing.leaseTtlMs < timing.inForceBoundMs
  }]
})

export const nodeLimitsSection = defineSection({
  keyword: 'limits',
  arguments: [],
  required: false,
  description: 'Limits of this node, over all teams.',
  schema: z.object({
    outcomeMemoryEntries: integer(100, 10_000_000).default(50_000).describe('Maximum number of outcomes kept. When it is reached, the oldest are evicted early: their ids are then answered as unknown and never run again.'),
    concurrentRequests: integer(1, 100_000).default(2_048).describe('Maximum number of requests that run at the same time.'),
    queuedRequests: integer(0, 100_000).default(1_024).describe('Maximum number of queued requests.'),
    memoryBytes: sizeBytes(128 * MIB, 1_024 * 1_024 * MIB).default(DEFAULT_MACHINE.memoryBytes).describe('Memory that this process may use. It decides what callers together may make it hold; beyond that, connections are closed.'),
    descriptors: integer(256, 10_000_000).default(DEFAULT_MACHINE.descriptors).describe('Descriptors that this process may use. Callers get 0.7 of them for connections; beyond that, unused connections are closed.'),
    drainTimeoutMs: durationMs(1_000, 3_600_000).default(600_000).describe('How long a draining node waits for requests in progress before it logs how many still run. It never aborts them.'),
    stopGraceMs: durationMs(0, 3_600_000).default(0).describe('Time between the supervisor\'s SIGTERM and its SIGKILL. Shortly before it ends, requests that still run are ended with an error that says what is known of them. 0 if the supervisor waits.')
  }),
  relations: []
})

/** The sections of a node's settings, in the order of the reference page. */
export const NODE_SECTIONS = [
  nodeSection, entrySection, meshSection, adminSection, platformSection, endpointsSection, domainEndpointsSection, timingSection, nodeLimitsSection
] as unknown as readonly SectionSpec[]

import { z } from 'zod'
import { AuditKind, ExplainCauseKind, ExplainSubject, GroupState, NodeState } from 'dotterelspur'
import { SettingsChangeKind } from '../version/diffSettings.js'
import { DrainTargetKind } from './AdminRequests.js'

/** JSON replies of a node's operators' listener. `dotterelctl` validates the replies that it receives by these schemas. */

/** The source of the data in a reply. */
export enum AnswerSource {
  /** The platform's store, read for this request. */
  Store = 'store',
  /** The nodes' copies of the store, which are available also while the store is not. */
  Mesh = 'mesh'
}

const sourceSchema = z.object({
  source: z.enum(AnswerSource),
  /** How long ago any node last had contact with the store; null for never. */
  storeContactAgeMs: z.number().nullable()
})

export const teamDocumentSchema = z.object({
  ...sourceSchema.shape,
  team: z.string(),
  version: z.number(),
  text: z.string(),
  appliedBy: z.string(),
  appliedAtWallMs: z.number()
})
export type TeamDocument = z.output<typeof teamDocumentSchema>

export const teamListSchema = z.object({
  ...sourceSchema.shape,
  teams: z.array(z.object({ team: z.string(), version: z.number(), appliedBy: z.string(), appliedAtWallMs: z.number(), valid: z.boolean() }))
})
export type TeamList = z.output<typeof teamListSchema>

export const applyReplySchema = z.object({
  team: z.string(),
  version: z.number(),
  /** True when the change had already taken effect through an earlier attempt whose response was lost. */
  repeated: z.boolean(),
  /** The current version, if another change has been applied since; null otherwise. */
  supersededBy: z.number().nullable()
})
export type ApplyReply = z.output<typeof applyReplySchema>

const changeSchema = z.object({
  kind: z.enum(SettingsChangeKind),
  section: z.string(),
  key: z.string().nullable(),
  before: z.string().nullable(),
  after: z.string().nullable()
})

export const diffReplySchema = z.object({
  ...sourceSchema.shape,
  team: z.string(),
  /** The version that the text was compared with; null when the team has no settings. */
  version: z.number().nullable(),
  changes: z.array(changeSchema)
})
export type DiffReply = z.output<typeof diffReplySchema>

export const validateReplySchema = z.object({ team: z.string(), models: z.number(), services: z.number() })
export type ValidateReply = z.output<typeof validateReplySchema>

export const inForceReplySchema = z.object({
  team: z.string(),
  version: z.number(),
  /** Live nodes where this version, or a higher one, is in force. */
  inForce: z.array(z.string()),
  /** Live nodes where it is not in force, or that did not respond in time. */
  missing: z.array(z.object({ node: z.string(), state: z.enum(NodeState), version: z.number().nullable() })),
  /** Nodes that are dead or have left, which count neither as in force nor as missing. */
  absent: z.array(z.string())
})
export type InForceReply = z.output<typeof inForceReplySchema>

const memberSchema = z.object({ vm: z.string(), incarnation: z.number(), address: z.string() })

export const groupListSchema = z.object({
  ...sourceSchema.shape,
  groups: z.array(z.object({
    group: z.string(),
    team: z.string(),
    model: z.string(),
    version: z.string(),
    failureDomain: z.string(),
    fabricDomain: z.string(),
    formation: z.number(),
    state: z.enum(GroupState),
    /** True when the group is serving or forming, complete according to unexpired evidence, not leaving and not drained. */
    serving: z.boolean(),
    evidenceAgeMs: z.number().nullable(),
    members: z.array(memberSchema),
    standbys: z.array(memberSchema),
    cause: z.string(),
    sinceWallMs: z.number(),
    running: z.number().nullable(),
    waiting: z.number().nullable()
  }))
})
export type GroupList = z.output<typeof groupListSchema>

export const endpointListSchema = z.object({
  /** False when the platform's list could not be read: only assigned VMs and service workers are shown. */
  listed: z.boolean(),
  endpoints: z.array(z.object({
    vm: z.string(),
    role: z.string(),
    listState: z.string().nullable(),
    failureDomain: z.string(),
    fabricDomain: z.string(),
    incarnation: z.number(),
    address: z.string(),
    group: z.string().nullable(),
    standby: z.boolean(),
    service: z.string().nullable(),
    drained: z.boolean(),
  }))
})
export type EndpointList = z.output<typeof endpointListSchema>

export const nodeListSchema = z.object({
  answeredBy: z.string(),
  nodes: z.array(z.object({
    node: z.string(),
    incarnation: z.number(),
    state: z.enum(NodeState),
    region: z.string(),
    failureDomain: z.string(),
    meshAddress: z.string(),
    entryAddress: z.string(),
    adminAddress: z.string()
  }))
})
export type NodeList = z.output<typeof nodeListSchema>

export const leaseListSchema = z.object({
  ...sourceSchema.shape,
  leases: z.array(z.object({
    failureDomain: z.string(),
    holder: z.string(),
    holderIncarnation: z.number(),
    fencing: z.number(),
    ttlMs: z.number(),
    renewal: z.number(),
    released: z.boolean(),
    /** The holder's state in the mesh; null when the process that took the lease is not a member. */
    holderState: z.enum(NodeState).nullable()
  }))
})
export type LeaseList = z.output<typeof leaseListSchema>

export const drainListSchema = z.object({
  ...sourceSchema.shape,
  drains: z.array(z.object({
    kind: z.enum(DrainTargetKind),
    target: z.string(),
    requestedBy: z.string(),
    requestedAtWallMs: z.number(),
    reason: z.string()
  }))
})
export type DrainList = z.output<typeof drainListSchema>

export const drainReplySchema = z.object({ kind: z.enum(DrainTargetKind), target: z.string(), drained: z.boolean() })
export type DrainReply = z.output<typeof drainReplySchema>

export const auditReplySchema = z.object({
  day: z.string(),
  /** Whether the day has more records than the reply contains. */
  truncated: z.boolean(),
  records: z.array(z.object({
    kind: z.enum(AuditKind),
    atWallMs: z.number(),
    actor: z.string(),
    subject: z.string(),
    before: z.string().nullable(),
    after: z.string().nullable(),
    reason: z.string(),
    rejected: z.array(z.string())
  }))
})
export type AuditReply = z.output<typeof auditReplySchema>

export const explanationSchema = z.object({
  subject: z.enum(ExplainSubject),
  name: z.string(),
  satisfied: z.boolean(),
  summary: z.string(),
  causes: z.array(z.object({
    kind: z.enum(ExplainCauseKind),
    subject: z.string().nullable(),
    message: z.string(),
    sinceWallMs: z.number().nullable(),
    rejected: z.array(z.string())
  }))
})
export type ExplanationReply = z.output<typeof explanationSchema>

export const statusReplySchema = z.object({
  ...sourceSchema.shape,
  node: z.string(),
  incarnation: z.number(),
  state: z.enum(NodeState),
  region: z.string(),
  failureDomain: z.string(),
  ready: z.boolean(),
  peerContactAgeMs: z.number().nullable(),
  nodes: z.record(z.string(), z.number()),
  groups: z.object({ serving: z.number(), notServing: z.number(), byState: z.record(z.string(), z.number()) }),
  teams: z.number(),
  leases: z.number(),
  drains: z.number()
})
export type StatusReply = z.output<typeof statusReplySchema>

import type { AdapterId, FailureDomainId, GroupId, ModelId, ModelVersion, RegionId, ServiceId, VmId } from '../../process/ids.js'
import type { LoadReport } from '../../process/Presence.js'

/** Identifies one incarnation of a target: a group at a formation, or a service worker at an incarnation. */
export type TargetId = string & { readonly __flavor?: 'TargetId' }

export enum TargetKind {
  Group = 'group',
  Service = 'service'
}

interface TargetBase {
  readonly id: TargetId
  /** Base URL for requests: that of the group's leader, or of the worker itself. */
  readonly address: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** On this node's monotonic clock. From then on, the target is no longer known to be complete and gets no requests. */
  readonly evidenceExpiresAtMs: number
  /** Takes no new requests: the target announced it, the platform lists it as leaving, or an operator drains it. */
  readonly leaving: boolean
  readonly load: LoadReport
  /** When `load` was requested, on this node's monotonic clock; it was measured `load.ageMs` before that. */
  readonly loadRequestedAtMs: number
}

/** A complete group that requests can be dispatched to. */
export interface GroupTarget extends TargetBase {
  readonly kind: TargetKind.Group
  readonly group: GroupId
  readonly formation: number
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
}

/** One worker of a plain service. */
export interface ServiceTarget extends TargetBase {
  readonly kind: TargetKind.Service
  readonly service: ServiceId
  readonly vm: VmId
  readonly incarnation: number
}

export type RouteTarget = GroupTarget | ServiceTarget

/**
 * A group at a new formation is a new target: counts, health and cached prefixes of the old formation don't apply to
 * it.
 */
export function groupTargetId (group: GroupId, formation: number): TargetId {
  return `${group}@${formation}`
}

export function serviceTargetId (service: ServiceId, vm: VmId, incarnation: number): TargetId {
  return `${service}/${vm}@${incarnation}`
}

import type { AdapterId, FailureDomainId, GroupId, ModelId, ModelVersion, RegionId, ServiceId, VmId } from '../../process/ids.js'
import type { LoadReport } from '../../process/Presence.js'

/** Names one incarnation of a target: a group at a formation, or a service worker at an incarnation. */
export type TargetId = string & { readonly __flavor?: 'TargetId' }

export enum TargetKind {
  Group = 'group',
  Service = 'service'
}

interface TargetBase {
  readonly id: TargetId
  /** Base URL that takes the request: the group's leader, or the worker itself. */
  readonly address: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** On this node's monotonic clock. From then on, nothing proves that the target is whole. */
  readonly evidenceExpiresAtMs: number
  /** The target said so, the platform lists it as leaving, or an operator drains it: no new work. */
  readonly leaving: boolean
  readonly load: LoadReport
  /** When `load` was asked for, on this node's monotonic clock; `load.ageMs` comes on top. */
  readonly loadRequestedAtMs: number
}

/** A complete group, as dispatch sees it. */
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

/** A group that changed its formation is another target: what was in flight or learnt at the old one is gone. */
export function groupTargetId (group: GroupId, formation: number): TargetId {
  return `${group}@${formation}`
}

export function serviceTargetId (service: ServiceId, vm: VmId, incarnation: number): TargetId {
  return `${service}/${vm}@${incarnation}`
}

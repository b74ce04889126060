import type { EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId } from '../../process/ids.js'

/** State of an endpoint's group membership, as the endpoint reports it. */
export enum MemberState {
  /** Loads the model or connects to the other members. */
  Joining = 'joining',
  Ready = 'ready',
  /** Head only: accepts requests. */
  Open = 'open',
  /** Head only: finishes its running requests and accepts no new ones. */
  Closing = 'closing',
  /** A member has been lost for so long that the group has given up. */
  Broken = 'broken'
}

/** An endpoint's place in a group. */
export interface Membership {
  readonly group: GroupId
  /** Formation number. The same group name with another number denotes another group. */
  readonly formation: number
  /** 0 is the head, which accepts the group's requests. */
  readonly rank: number
  readonly state: MemberState
}

/** List entry of one incarnation of an endpoint. After the endpoint is lost, the entry lags by a heartbeat. */
export interface EndpointRecord {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  /** `ip:port`. Another service may reuse it soon after this endpoint terminates. */
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for endpoints that form no groups. */
  readonly fabricDomain: FabricDomainId | null
  readonly slots: number
  /** The endpoint has announced that it will terminate, so it gets no new work. */
  readonly leaving: boolean
  /** Models staged on its host; joining a group of one of them needs no load from the weight store. */
  readonly staged: readonly ModelId[]
  /** The model of its group. */
  readonly model: ModelId | null
  readonly membership: Membership | null
  /** How long the endpoint stays cold from when its entry was written; null where the entry states no valid time, absent where it states 0 or nothing. */
  readonly coldRemainingMs?: number | null
}

/** Whether callers' requests may be sent to the endpoint. */
export function takesRequests (record: EndpointRecord): boolean {
  if (record.leaving) return false
  if (record.fabricDomain === null) return true
  return record.membership !== null && record.membership.rank === 0 && record.membership.state === MemberState.Open
}

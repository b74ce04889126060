import type { EndpointId, FabricDomainId, FailureDomainId, GroupId, ModelId, ServiceId } from '../../process/ids.js'

/** How far an endpoint is with its place in a group, by its own word. */
export enum MemberState {
  /** Loads or connects. */
  Joining = 'joining',
  Ready = 'ready',
  /** Head only: takes requests. */
  Open = 'open',
  /** Head only: finishes what it has. */
  Closing = 'closing',
  /** A member was lost for so long that the group has given up. */
  Broken = 'broken'
}

/** An endpoint's place in a group. */
export interface Membership {
  readonly group: GroupId
  /** Formation number: a group of the same name under another number is another group. */
  readonly formation: number
  /** 0 is the head, which takes the group's requests. */
  readonly rank: number
  readonly state: MemberState
}

/** What the list says of one life of an endpoint. Lags by a heartbeat where the endpoint was lost. */
export interface EndpointRecord {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  /** `ip:port`; another service may have it soon after this endpoint ends. */
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for endpoints that form no groups. */
  readonly fabricDomain: FabricDomainId | null
  readonly slots: number
  /** It has said that it will stop: it gets no new work. */
  readonly leaving: boolean
  /** Models on its host, from which a join is short. */
  readonly staged: readonly ModelId[]
  /** The model of its group. */
  readonly model: ModelId | null
  readonly membership: Membership | null
}

/** Whether callers' requests may be sent there at all. */
export function takesRequests (record: EndpointRecord): boolean {
  if (record.leaving) return false
  if (record.fabricDomain === null) return true
  return record.membership !== null && record.membership.rank === 0 && record.membership.state === MemberState.Open
}

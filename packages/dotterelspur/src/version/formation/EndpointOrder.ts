import type { EndpointId, GroupId, ModelId } from '../../process/ids.js'

export enum EndpointOrderKind {
  Join = 'join',
  Open = 'open',
  Close = 'close',
  Leave = 'leave',
  Stage = 'stage'
}

/** What a head does with its requests when it closes. */
export enum CloseMode {
  /** It finishes them. */
  Wait = 'wait',
  /** It breaks them off. */
  BreakOff = 'break-off'
}

/** What an endpoint can be told to do. Each is idempotent: the same order again changes nothing. */
export type EndpointOrder =
  | { readonly kind: EndpointOrderKind.Join, readonly group: GroupId, readonly formation: number, readonly model: ModelId, readonly members: readonly EndpointId[] }
  | { readonly kind: EndpointOrderKind.Open, readonly group: GroupId, readonly formation: number }
  | { readonly kind: EndpointOrderKind.Close, readonly group: GroupId, readonly formation: number, readonly mode: CloseMode }
  | { readonly kind: EndpointOrderKind.Leave, readonly group: GroupId, readonly formation: number }
  | { readonly kind: EndpointOrderKind.Stage, readonly model: ModelId }

/** What became of an order. */
export enum OrderReply {
  /** It has begun. */
  Begun = 'begun',
  /** The state already holds, or it is done. */
  Done = 'done',
  /** It doesn't fit the endpoint's state. */
  Unfit = 'unfit',
  /** The endpoint has seen a higher formation number. */
  Outdated = 'outdated',
  /** Another endpoint has the address, or this one is gone. */
  Elsewhere = 'elsewhere',
  /** The connection was refused: nothing listens there, and nothing was sent. */
  Unreachable = 'unreachable',
  /** It may have been accepted, or may be carried out later. */
  Unanswered = 'unanswered'
}

import type { EndpointId, GroupId, ModelId } from '../../process/ids.js'

export enum EndpointOrderKind {
  Join = 'join',
  Open = 'open',
  Close = 'close',
  Leave = 'leave',
  Stage = 'stage'
}

/** What a closing head does with its running requests. */
export enum CloseMode {
  /** Finishes them. */
  Wait = 'wait',
  /** Aborts them. */
  BreakOff = 'break-off'
}

/** Orders to an endpoint. Each is idempotent: repeating it changes nothing. */
export type EndpointOrder =
  | { readonly kind: EndpointOrderKind.Join, readonly group: GroupId, readonly formation: number, readonly model: ModelId, readonly members: readonly EndpointId[] }
  | { readonly kind: EndpointOrderKind.Open, readonly group: GroupId, readonly formation: number }
  | { readonly kind: EndpointOrderKind.Close, readonly group: GroupId, readonly formation: number, readonly mode: CloseMode }
  | { readonly kind: EndpointOrderKind.Leave, readonly group: GroupId, readonly formation: number }
  | { readonly kind: EndpointOrderKind.Stage, readonly model: ModelId }

/** An endpoint's reply to an order, or why there is none. */
export enum OrderReply {
  /** The endpoint has begun to carry out the order. */
  Begun = 'begun',
  /** The order is completed, or the endpoint already was in the ordered state. */
  Done = 'done',
  /** The order does not apply in the endpoint's current state. */
  Unfit = 'unfit',
  /** The endpoint has received a higher formation number. */
  Outdated = 'outdated',
  /** Another endpoint has the address, or the addressed endpoint has terminated. */
  Elsewhere = 'elsewhere',
  /** The connection was refused: nothing listens at the address, and nothing was sent. */
  Unreachable = 'unreachable',
  /** No reply arrived. The order may have been accepted, or may still be carried out. */
  Unanswered = 'unanswered'
}

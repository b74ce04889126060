/** Every way in which an exchange with an endpoint can end. */
export enum ExchangeEnd {
  /** The whole response arrived; also a failure reported by the endpoint that must not be retried. */
  Answered = 'answered',
  /** The endpoint ran the request and answered with a server error. */
  Failed = 'failed',
  /** The endpoint states that it did not run the request. */
  Rejected = 'rejected',
  /** Another endpoint has the address, or this endpoint does not serve this kind of request; the request did not run. */
  Misdirected = 'misdirected',
  /** No connection was established, so nothing was sent. */
  NotConnected = 'not-connected',
  /** The connection closed before the whole response had arrived. */
  BrokenOff = 'broken-off',
  /** The bytes received are not a valid response of the protocol. */
  Garbled = 'garbled',
  /** The response belongs to another request. */
  Foreign = 'foreign',
  /** No bytes arrived for so long that another endpoint may be tried. The exchange stays open, since the endpoint may only have paused. */
  Silent = 'silent',
  /** Another exchange of the same request has continued the response. */
  Superseded = 'superseded',
  /** The time that the caller or the route allows has elapsed. */
  TimedOut = 'timed-out',
  /** The grace period of this node's planned stop has ended. */
  Stopped = 'stopped',
  /** The caller closed its connection. */
  CallerLeft = 'caller-left'
}

/** What an exchange's end proves, and its consequences for the endpoint. */
export interface ExchangeRule {
  /** The request has not run at the endpoint and will not run there later. */
  readonly provesNotRun: boolean
  /** Whether another endpoint may be tried, if the request may run again or has not run. */
  readonly mayRetryElsewhere: boolean
  /** The endpoint is avoided for a while. */
  readonly penalizesEndpoint: boolean
  /** Counts as a failure of the endpoint, unless the request proves to fail anywhere. */
  readonly countsAsFailure: boolean
  /** The endpoint may have terminated, possibly because of the request. */
  readonly mayHaveCrashedEndpoint: boolean
  /** This node ended the exchange: a request that was sent may still arrive. */
  readonly mayArriveLater: boolean
}

/**
 * The rule for each end. Only the endpoint's own statement, or a connection that was never established, proves that a
 * request did not run: a request that was sent may be running behind a connection reset, a silence or a response that
 * belongs to another request.
 */
export const EXCHANGE_RULES: Readonly<Record<ExchangeEnd, ExchangeRule>> = {
  [ExchangeEnd.Answered]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Failed]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, countsAsFailure: true, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Rejected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Misdirected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: true, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.NotConnected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: true, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.BrokenOff]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: true, countsAsFailure: true, mayHaveCrashedEndpoint: true, mayArriveLater: false },
  [ExchangeEnd.Garbled]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, countsAsFailure: true, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Foreign]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, countsAsFailure: true, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Silent]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: true, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: false },
  [ExchangeEnd.Superseded]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: true },
  [ExchangeEnd.TimedOut]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: true },
  [ExchangeEnd.Stopped]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: true },
  [ExchangeEnd.CallerLeft]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, countsAsFailure: false, mayHaveCrashedEndpoint: false, mayArriveLater: true }
}

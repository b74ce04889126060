/** Every way in which an exchange with an endpoint can end. */
export enum ExchangeEnd {
  /** The whole answer to this request arrived, also a failure of the endpoint's own that may not be repeated. */
  Answered = 'answered',
  /** The endpoint ran the request and answered with a server error. */
  Failed = 'failed',
  /** The endpoint says that it did not run the request. */
  Rejected = 'rejected',
  /** Another endpoint has the address, or this one takes no requests of the kind; it did not run it. */
  Misdirected = 'misdirected',
  /** No connection came about: nothing was sent. */
  NotConnected = 'not-connected',
  /** The connection ended before the whole answer was there. */
  BrokenOff = 'broken-off',
  /** The bytes were no answer in the protocol. */
  Garbled = 'garbled',
  /** The answer belongs to another request. */
  Foreign = 'foreign',
  /** Nothing came for so long that the endpoint is taken for lost. */
  Silent = 'silent',
  /** The time that the caller or the route allows is over. */
  TimedOut = 'timed-out',
  /** The caller closed its connection. */
  CallerLeft = 'caller-left'
}

/** What an end proves, and what follows for the endpoint. */
export interface ExchangeRule {
  /** The request has not run there and will not run there later. */
  readonly provesNotRun: boolean
  /** Whether another endpoint may be tried, if the request may run again or has not run. */
  readonly mayRetryElsewhere: boolean
  /** The endpoint is passed over for a while. */
  readonly penalizesEndpoint: boolean
  /** The endpoint may have ended, and the request may be why. */
  readonly mayHaveCrashedEndpoint: boolean
}

/**
 * What each end means. Only an endpoint's own word, or a connection that never came about, proves that a request
 * did not run: one that was sent may be running behind a reset, a silence or a stranger's answer.
 */
export const EXCHANGE_RULES: Readonly<Record<ExchangeEnd, ExchangeRule>> = {
  [ExchangeEnd.Answered]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.Failed]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.Rejected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.Misdirected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: true, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.NotConnected]: { provesNotRun: true, mayRetryElsewhere: true, penalizesEndpoint: true, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.BrokenOff]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: true, mayHaveCrashedEndpoint: true },
  [ExchangeEnd.Garbled]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.Foreign]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.Silent]: { provesNotRun: false, mayRetryElsewhere: true, penalizesEndpoint: true, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.TimedOut]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, mayHaveCrashedEndpoint: false },
  [ExchangeEnd.CallerLeft]: { provesNotRun: false, mayRetryElsewhere: false, penalizesEndpoint: false, mayHaveCrashedEndpoint: false }
}

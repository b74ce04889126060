/** Bounds of the endpoint clients. Each protects the node from one endpoint, or one caller, that misbehaves. */
export interface EndpointSettings {
  /** No connection by then: nothing was sent. */
  readonly connectTimeoutMs: number
  /**
   * A model request whose head has not come within this time is reported as silent; engines send it when they take the request. A
   * request that still waits for a connection by then is not sent.
   */
  readonly answerTimeoutMs: number
  /** A stream without its first chunk by then is reported as silent: waiting at the engine and reading the prompt. */
  readonly firstChunkTimeoutMs: number
  /** A stream that is silent for this long between two chunks is reported. */
  readonly chunkTimeoutMs: number
  /** After the end mark the connection must be free within this time to be used again. */
  readonly drainTimeoutMs: number
  /** Connections to one endpoint that carry requests. */
  readonly requestConnections: number
  /** Connections to one endpoint for probes and orders, which must never wait behind streams. */
  readonly controlConnections: number
  /** Requests that may wait for a connection to one endpoint; further ones fail as not run. */
  readonly queuedRequests: number
  /** Endpoints to which connections are kept; the one used longest ago gives way. */
  readonly endpoints: number
  readonly idleConnectionMs: number
  /** Bytes of one chunk line. */
  readonly lineBytes: number
  /** Bytes of a whole response of a plain service. */
  readonly responseBytes: number
  /** Bytes of an engine's short answers: status, lookups, refusals, pages of cache events. */
  readonly answerBytes: number
  /** Bytes received and not yet consumed before the connection is paused. */
  readonly bufferedBytes: number
}

export const DEFAULT_ENDPOINT_SETTINGS: EndpointSettings = {
  connectTimeoutMs: 500,
  answerTimeoutMs: 2_000,
  firstChunkTimeoutMs: 30_000,
  chunkTimeoutMs: 3_000,
  drainTimeoutMs: 1_000,
  requestConnections: 256,
  controlConnections: 2,
  queuedRequests: 512,
  endpoints: 4_096,
  idleConnectionMs: 4_000,
  lineBytes: 64 * 1024,
  responseBytes: 8 * 1024 * 1024,
  answerBytes: 256 * 1024,
  bufferedBytes: 64 * 1024
}

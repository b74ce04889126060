/** What the clients of a crowd send; see `CROWD_PLANS`. */
export enum CrowdKind {
  /** Requests that are sent ahead of their responses, which are not read, without the `Host` header. */
  PipelinedWithoutHost = 'pipelined requests without a host',
  /** The same with the `Host` header alone. */
  PipelinedWithoutKey = 'pipelined requests without a key',
  /** The same by callers that the manifest allows. */
  PipelinedWithKey = 'pipelined requests with a key',
  /** Few requests that are sent ahead, each with a large response that is not read. */
  UnreadLargeResponses = 'large responses that are not read',
  /** Very many connections, some of which are closed early. */
  Connections = 'connections that are opened and closed early',
  /** Connections that stop inside the headers of their first request. */
  PartialHeads = 'requests that stop inside their headers',
  /** Bodies in large chunks, most of which stop just short of their end. */
  LargeChunks = 'large bodies in large chunks',
  /** Bodies in very small chunks, most of which stop just short of their end. */
  SmallChunks = 'bodies in small chunks',
  /** The same in chunks of a byte, by more clients. */
  SingleByteChunks = 'bodies in chunks of a byte',
  /** Very many bodies of a size at which a single one is not worth a limit. */
  SmallBodies = 'very many small bodies'
}

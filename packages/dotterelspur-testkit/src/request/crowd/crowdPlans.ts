import { CrowdKind } from './CrowdKind.js'

const KIB = 1_024
/** Kept for the last chunk, which most clients do not send. */
const LAST_CHUNK = '1\r\nx\r\n0\r\n\r\n'
/** Of the clients that send bodies, this part completes them. */
const COMPLETED_EVERY = 8

/** The listener that a crowd meets. */
export interface CrowdTarget {
  readonly host: string
  readonly port: number
  /** Paths of requests with an ordinary response, with a large one, and with a body. */
  readonly paths: { readonly small: string, readonly large: string, readonly upload: string }
  /** Value of the `Host` header. */
  readonly hostHeader: string
  /** Lines by which a known caller is recognised, each ended by CRLF. */
  readonly keyLines: string
}

/** How a client goes on once it has sent what it sends. */
export enum ClientEnd {
  Stay = 'stay',
  Close = 'close',
  Reset = 'reset'
}

export interface ClientPlan {
  /** What the client sends, in pieces. */
  readonly pieces: () => Iterable<string>
  readonly end: ClientEnd
}

export interface CrowdPlan {
  readonly clients: number
  readonly client: (target: CrowdTarget, index: number) => ClientPlan
}

function stay (pieces: () => Iterable<string>): ClientPlan {
  return { pieces, end: ClientEnd.Stay }
}

function * repeat (text: string, count: number, perPiece: number): Generator<string> {
  const piece = text.repeat(perPiece)
  for (let sent = 0; sent < count; sent += perPiece) yield piece
}

function head (method: string, path: string, lines: string): string {
  return `${method} ${path} HTTP/1.1\r\n${lines}\r\n`
}

function keyHead (method: string, path: string, { hostHeader, keyLines }: CrowdTarget, lines = ''): string {
  return head(method, path, `Host: ${hostHeader}\r\n${keyLines}${lines}`)
}

/** A chunked body of `bodyBytes`, its last byte in a chunk of its own. */
function * body (target: CrowdTarget, index: number, bodyBytes: number, chunkBytes: number): Generator<string> {
  yield keyHead('POST', target.paths.upload, target, 'Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n')
  const chunk = `${chunkBytes.toString(16)}\r\n${' '.repeat(chunkBytes)}\r\n`
  const chunks = Math.floor((bodyBytes - 1) / chunkBytes)
  yield * repeat(chunk, chunks, Math.max(1, Math.floor(64 * KIB / chunk.length)))
  if (index % COMPLETED_EVERY === 0) yield LAST_CHUNK
}

const LEAVERS: ReadonlyArray<(target: CrowdTarget) => ClientPlan> = [
  () => ({ pieces: () => [], end: ClientEnd.Reset }),
  (target) => ({ pieces: () => [keyHead('GET', target.paths.small, target).slice(0, 10)], end: ClientEnd.Close }),
  () => stay(() => []),
  () => stay(() => []),
  (target) => stay(() => [keyHead('GET', target.paths.small, target).slice(0, 10)]),
  (target) => stay(() => [keyHead('GET', target.paths.small, target)])
]

/** The crowds, small enough for a test. */
export const CROWD_PLANS: Readonly<Record<CrowdKind, CrowdPlan>> = {
  [CrowdKind.PipelinedWithoutHost]: { clients: 100, client: ({ paths }) => stay(() => repeat(head('GET', paths.small, ''), 5_000, 1_000)) },
  [CrowdKind.PipelinedWithoutKey]: { clients: 100, client: ({ paths, hostHeader }) => stay(() => repeat(head('GET', paths.small, `Host: ${hostHeader}\r\n`), 5_000, 1_000)) },
  [CrowdKind.PipelinedWithKey]: { clients: 40, client: (target) => stay(() => repeat(keyHead('GET', target.paths.small, target), 500, 250)) },
  [CrowdKind.UnreadLargeResponses]: { clients: 40, client: (target) => stay(() => [keyHead('GET', target.paths.large, target).repeat(10)]) },
  [CrowdKind.Connections]: { clients: 6_600, client: (target, index) => LEAVERS[index % LEAVERS.length]!(target) },
  [CrowdKind.PartialHeads]: { clients: 3_000, client: (target) => stay(() => [`${keyHead('GET', target.paths.small, target).slice(0, -2)}X-Filler: ${'x'.repeat(14 * KIB)}\r\n`]) },
  [CrowdKind.LargeChunks]: { clients: 120, client: (target, index) => stay(() => body(target, index, 3_900_000, 64_000)) },
  [CrowdKind.SmallChunks]: { clients: 200, client: (target, index) => stay(() => body(target, index, 60_000, 16)) },
  [CrowdKind.SingleByteChunks]: { clients: 300, client: (target, index) => stay(() => body(target, index, 200_000, 1)) },
  [CrowdKind.SmallBodies]: { clients: 2_400, client: (target, index) => stay(() => body(target, index, 64_000, 16_000)) }
}

/** What ends an exchange whose response does not end by itself. */
export enum ResponseLimit {
  /** Bytes up to the end of the response's head, those of informational responses before it included. */
  Head = 'head',
  /** Bytes besides head and data: sizes and extensions of chunks, trailers. */
  Framing = 'framing',
  /** The buffered body of one response. */
  Body = 'body',
  /** One event of a stream, which is buffered until it is complete. */
  Event = 'event',
  /** What all exchanges of the process buffer together; the one that buffers most is ended. */
  Total = 'total'
}

const KIB = 1_024
const MIB = 1_024 * KIB

/** The fields of one head; also the limit of Node.js. */
export const MAX_HEAD_FIELD_BYTES = 16 * KIB

/** Lines up to the end of the response's head, those of informational responses before it included. */
export const MAX_HEAD_LINES = 1_024

/** Chunk sizes and extensions before the next data, or trailers. */
export const MAX_BYTES_WITHOUT_DATA = 4 * KIB

/** Empty lines, which are allowed between responses, on a connection without request; all other bytes close it. */
export const MAX_IDLE_BYTES = KIB

/** Limits of one exchange that are the same on each machine. */
type FixedLimit = Exclude<ResponseLimit, ResponseLimit.Body | ResponseLimit.Total>

/** Bytes at which a limit ends an exchange. */
export const RESPONSE_LIMIT_BYTES: Readonly<Record<FixedLimit, number>> = {
  // The largest head, and some informational responses before it.
  [ResponseLimit.Head]: 64 * KIB,
  // Beyond the number of data bytes: a chunk of an ordinary size takes a few bytes, and a short body may come in chunks of one byte.
  [ResponseLimit.Framing]: MIB,
  // An event holds some tokens of an answer. Even with the details of each it is no larger than a few kilobytes.
  [ResponseLimit.Event]: MIB
}

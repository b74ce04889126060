import type { HomeId, NodeId, RequestId } from '../process/ids.js'

/**
 * The parts of a request id, `<node>.<incarnation>.<issued>.<random>`: the home, which alone decides about dispatching
 * the request; the time of issue (wall clock of the issuer, base 36); and a random part that makes the id unique.
 */
export interface RequestIdentity {
  readonly home: HomeId
  readonly node: NodeId
  readonly incarnation: number
  readonly issuedWallMs: number
  readonly random: string
}

const RADIX = 36
const REQUEST_ID_PATTERN = /^([a-z0-9][a-z0-9-]{0,62})\.([0-9]{1,15})\.([0-9a-z]{1,11})\.([0-9a-zA-Z_-]{8,64})$/

/** Formats a request id. `random` must be unique for the home, 8 to 64 URL-safe characters. */
export function formatRequestId (home: HomeId, issuedWallMs: number, random: string): RequestId {
  return `${home}.${issuedWallMs.toString(RADIX)}.${random}`
}

/** Parses a request id; undefined when the text is a key that a caller chose itself. */
export function parseRequestId (text: string): RequestIdentity | undefined {
  const match = REQUEST_ID_PATTERN.exec(text)
  if (match === null) return undefined
  const [, node, incarnation, issued, random] = match
  return {
    home: `${node}.${incarnation}`,
    node: node!,
    incarnation: Number(incarnation),
    issuedWallMs: parseInt(issued!, RADIX),
    random: random!
  }
}

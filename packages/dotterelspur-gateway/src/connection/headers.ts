import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** Hop-by-hop headers, which apply to one connection only and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Not forwarded either: it is set again for each hop, together with the body. */
const LENGTH_HEADER = 'content-length'

const EVENT_STREAM_TYPE = 'text/event-stream'

/** The caller's headers that are forwarded to an endpoint, as a flat list of names and values. */
export function forwardedHeaders (rawHeaders: readonly string[]): string[] {
  const named = connectionHeaderNames(rawHeaders)
  const kept: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(name) || name === LENGTH_HEADER || named.has(name)) continue
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return kept
}

/** The endpoint's headers that are returned to the caller. */
export function responseHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name) && name !== LENGTH_HEADER) kept[name] = value
  }
  return kept
}

/**
 * Whether the response to a streaming request is a stream of events. A missing content type is taken for one. Where an endpoint states
 * several, undici returns them as an array, and the first counts.
 */
export function isEventStream (headers: IncomingHttpHeaders): boolean {
  const [type] = [headers['content-type'] as string | string[] | undefined].flat()
  return type?.toLowerCase().startsWith(EVENT_STREAM_TYPE) ?? true
}

/** Names that the sender's `Connection` header lists as hop-by-hop. */
function connectionHeaderNames (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]!.split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}

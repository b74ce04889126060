import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** Headers that concern one connection only and are not handed on. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Set anew for each hop, since the body is sent with a length of its own. */
const LENGTH_HEADER = 'content-length'

/** The caller's headers that go on to an endpoint, as a flat list of names and values. */
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

/** The endpoint's headers that go back to the caller. */
export function responseHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name) && name !== LENGTH_HEADER) kept[name] = value
  }
  return kept
}

/** Names that the sender's `Connection` header declares to be for this connection only. */
function connectionHeaderNames (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]!.split(',')) named.add(name.trim().toLowerCase())
  }
  return named
}

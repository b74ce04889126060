import type { IncomingMessage } from 'node:http'

/** The host name without its port, in lower case, as routes are matched. */
export function hostOf (request: IncomingMessage): string {
  return (request.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
}

/** The path without its query. */
export function pathOf (request: IncomingMessage): string {
  const url = request.url ?? '/'
  const query = url.indexOf('?')
  return query === -1 ? url : url.slice(0, query)
}

/** A host as an IPv4 number, and a port that a connection can be opened to. */
export interface SocketAddress {
  readonly host: string
  readonly port: number
}

const ADDRESS = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/
const MAX_OCTET = 255
const MAX_PORT = 65_535

/** Parses `ip:port`; null for anything else. Sockets throw for a port out of range, and URLs for a number that is no address. */
export function parseSocketAddress (text: string): SocketAddress | null {
  const [, host, digits] = ADDRESS.exec(text) ?? []
  if (host === undefined || host.split('.').some((octet) => Number(octet) > MAX_OCTET)) return null
  const port = Number(digits)
  return port >= 1 && port <= MAX_PORT ? { host, port } : null
}

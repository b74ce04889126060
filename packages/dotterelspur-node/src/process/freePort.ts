import { createServer } from 'node:net'

/**
 * A port that is free on `host` now. A node must name its addresses to its peers before its listeners are up, so
 * a port of 0 in the settings is settled here first; meant for tests and demos, where the operating system assigns ports.
 */
export function findFreePort (host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const address = server.address()
      const port = typeof address === 'object' && address !== null ? address.port : 0
      server.close(() => { resolve(port) })
    })
  })
}

/** The port itself, or a free one when it is 0. */
export function resolvePort (host: string, port: number): Promise<number> {
  return port === 0 ? findFreePort(host) : Promise.resolve(port)
}

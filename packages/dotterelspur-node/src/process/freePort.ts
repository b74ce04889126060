import { createServer } from 'node:net'

/**
 * Finds a port that is currently free on `host`. A node announces its addresses to peers before its listeners are
 * open, so a port of 0 in the settings is resolved to a concrete one first. Port 0 is meant for tests and demos, where
 * the operating system assigns ports: another process may take the port before the node binds it.
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

/** Returns `port`, or a free port when it is 0. */
export function resolvePort (host: string, port: number): Promise<number> {
  return port === 0 ? findFreePort(host) : Promise.resolve(port)
}

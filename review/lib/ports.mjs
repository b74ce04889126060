import { createServer } from 'node:net'

/** Free ports of a loopback address; all are held open until the last one is known, so that they differ. */
export async function freePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => { resolve(server) })
  })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}

export async function sleep (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

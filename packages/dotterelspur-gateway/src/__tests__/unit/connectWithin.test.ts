import { expect } from 'chai'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { Client } from 'undici'
import { connectWithin } from '../../connection/connectWithin.js'

const TIMEOUT_MS = 1
const BLOCK_MS = 20

/** Blocks the event loop until the timer is due, so that it fires before any network event. */
function blockEventLoop (): void {
  const untilMs = Date.now() + BLOCK_MS
  while (Date.now() < untilMs) { /* Busy wait. */ }
}

describe('connectWithin', () => {
  async function withServer (use: (port: number) => Promise<void>): Promise<void> {
    const server: Server = createServer((socket) => { socket.end('HTTP/1.1 204 Done\r\n\r\n') })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    try {
      await use((server.address() as AddressInfo).port)
    } finally {
      server.close()
    }
  }

  it('connects, and calls `onConnected` with the socket', async () => {
    await withServer(async (port) => {
      let shown = 0
      const client = new Client(`http://127.0.0.1:${port}`, { connect: connectWithin(5_000, () => { shown += 1 }) })
      const { statusCode } = await client.request({ method: 'GET', path: '/' })
      expect({ statusCode, shown }).to.deep.equal({ statusCode: 204, shown: 1 })
      await client.destroy()
    })
  })

  it('fails a request whose connection is not established by its own timer, not by undici\'s', async () => {
    // Guards against a group that stalls for two seconds longer than two status requests of a quarter second take: a member
    // dies and its address does not respond. undici's connect timer ticks every half second, and an abort does not reach a request
    // before it has a connection.
    await withServer(async (port) => {
      const client = new Client(`http://127.0.0.1:${port}`, {
        connect: (options, callback) => {
          connectWithin(TIMEOUT_MS)(options, callback)
          blockEventLoop()
        }
      })
      const error = await client.request({ method: 'GET', path: '/' }).then(() => null, (reason: Error) => reason)
      expect(error?.message).to.equal(`no connection within ${TIMEOUT_MS} ms`)
      await client.destroy()
    })
  })
})

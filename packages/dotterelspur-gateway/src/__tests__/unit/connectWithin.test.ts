import { expect } from 'chai'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { Client } from 'undici'
import { connectWithin } from '../../connection/connectWithin.js'

const TIMEOUT_MS = 1
const BLOCK_MS = 20

/** Holds the event loop past the timer, so that it is due before anything that the network may say. */
function blockEventLoop (): void {
  const untilMs = Date.now() + BLOCK_MS
  while (Date.now() < untilMs) { /* Nothing else may run. */ }
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

  it('connects, and shows the socket before the library has it', async () => {
    await withServer(async (port) => {
      let shown = 0
      const client = new Client(`http://127.0.0.1:${port}`, { connect: connectWithin(5_000, () => { shown += 1 }) })
      const { statusCode } = await client.request({ method: 'GET', path: '/' })
      expect({ statusCode, shown }).to.deep.equal({ statusCode: 204, shown: 1 })
      await client.destroy()
    })
  })

  it('ends a request whose connection does not come about by its own timer, not by the library\'s', async () => {
    // Symptom: a group stands still for two seconds longer than two questions of a quarter second should take.
    // Sequence: a member dies, its address answers nothing, and the question waits for its connection. Cause: the
    // library's timer for connections ticks every half second, and an abort does not reach a request before it has one.
    await withServer(async (port) => {
      const client = new Client(`http://127.0.0.1:${port}`, {
        connect: (options, callback) => {
          connectWithin(TIMEOUT_MS)(options, callback)
          blockEventLoop()
        }
      })
      const error = await client.request({ method: 'GET', path: '/' }).then(() => null, (reason: Error) => reason)
      expect(error?.message).to.equal('no connection in time')
      await client.destroy()
    })
  })
})

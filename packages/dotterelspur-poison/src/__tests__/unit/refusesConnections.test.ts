import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import { refusesConnections } from '../../connection/refusesConnections.js'

async function listen (): Promise<Server> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

function addressOf (server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

describe('refusesConnections', () => {
  it('is false while a server listens, and true once it is closed', async () => {
    const server = await listen()
    const address = addressOf(server)
    expect(await refusesConnections(address)).to.equal(false)
    await new Promise((resolve) => { server.close(resolve) })
    expect(await refusesConnections(address)).to.equal(true)
  })
})

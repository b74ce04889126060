import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { expect } from 'chai'
import { MeshRelay } from '../../process/MeshRelay.js'

const TARGET_HOST = '127.0.1.201'
const SOURCE_HOST = '127.0.1.202'
const OTHER_HOST = '127.0.1.203'
const RELAY_HOST = '127.0.2.201'

interface Fixture {
  readonly relay: MeshRelay
  /** Connects from a host; resolves with the echo of a word, or with `cut`. */
  echo (sourceHost: string): Promise<string>
  /** Connects from a host and keeps the connection; `cut` resolves once it is closed. */
  hold (sourceHost: string): Promise<{ readonly cut: Promise<string> }>
}

async function withRelay (run: (fixture: Fixture) => Promise<void>): Promise<void> {
  const relay = new MeshRelay()
  const target = createServer((socket) => {
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await listen(target)
  const address = await relay.open(RELAY_HOST, { host: TARGET_HOST, port: (target.address() as AddressInfo).port })
  const open = (sourceHost: string): Socket => connect({ host: RELAY_HOST, port: Number(address.split(':')[1]), localAddress: sourceHost })
  const firstWord = (socket: Socket): Promise<string> => new Promise((resolve) => {
    socket.once('data', (part) => { resolve(part.toString()) })
    socket.once('error', () => { resolve('cut') })
    socket.once('close', () => { resolve('cut') })
    socket.write('hello')
  })
  try {
    await run({
      relay,
      echo: async (sourceHost) => {
        const socket = open(sourceHost)
        const word = await firstWord(socket)
        socket.destroy()
        return word
      },
      hold: async (sourceHost) => {
        const socket = open(sourceHost)
        await firstWord(socket)
        socket.on('error', () => {})
        return { cut: new Promise((resolve) => { socket.once('close', () => { resolve('cut') }) }) }
      }
    })
  } finally {
    relay.close()
    target.close()
  }
}

function listen (server: Server): Promise<void> {
  return new Promise((resolve) => { server.listen(0, TARGET_HOST, resolve) })
}

describe('MeshRelay', () => {
  const cases = [
    { name: 'the target', isolated: TARGET_HOST, fromSource: 'cut', fromOther: 'cut' },
    { name: 'the source', isolated: SOURCE_HOST, fromSource: 'cut', fromOther: 'hello' },
    { name: 'a third node', isolated: RELAY_HOST, fromSource: 'hello', fromOther: 'hello' }
  ]
  for (const { name, isolated, fromSource, fromOther } of cases) {
    it(`rejects new connections from or to ${name} while it is isolated, and accepts all of them afterwards`, async () => {
      await withRelay(async ({ relay, echo }) => {
        relay.isolate(isolated)
        expect([await echo(SOURCE_HOST), await echo(OTHER_HOST)]).to.deep.equal([fromSource, fromOther])
        relay.restore(isolated)
        expect([await echo(SOURCE_HOST), await echo(OTHER_HOST)]).to.deep.equal(['hello', 'hello'])
      })
    })
  }

  it('closes open connections when either end is isolated', async () => {
    await withRelay(async ({ relay, hold }) => {
      const link = await hold(SOURCE_HOST)
      relay.isolate(SOURCE_HOST)
      expect(await link.cut).to.equal('cut')
    })
  })
})

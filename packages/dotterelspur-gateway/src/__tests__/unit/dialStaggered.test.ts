import { Socket } from 'node:net'
import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { dialStaggered, type Dial } from '../../connection/dialStaggered.js'

const STAGGER_MS = 100
const TIMEOUT_MS = 400

interface ManualDial {
  readonly dial: Dial
  started: boolean
  readonly socket: Socket
  succeed: () => void
  fail: () => void
}

function createDial (): ManualDial {
  const manual: ManualDial = {
    started: false,
    socket: new Socket(),
    succeed: () => {},
    fail: () => {},
    dial: async () => await new Promise((resolve, reject) => {
      manual.started = true
      manual.succeed = () => { resolve({ socket: manual.socket, relay: null }) }
      manual.fail = () => { reject(new Error('refused')) }
    })
  }
  return manual
}

async function settle (): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
}

describe('dialStaggered', () => {
  let clock: ManualClock
  let dials: ManualDial[]
  let result: Promise<number | string>

  beforeEach(() => {
    clock = new ManualClock()
    dials = Array.from({ length: 3 }, createDial)
    result = dialStaggered(clock, dials.map(({ dial }) => dial), STAGGER_MS, TIMEOUT_MS).then(({ socket }) => dials.findIndex((dial) => dial.socket === socket), (error: Error) => error.message)
  })

  function started (): number {
    return dials.filter((dial) => dial.started).length
  }

  async function advance (durationMs: number): Promise<void> {
    clock.advance(durationMs)
    await settle()
  }

  it('starts one dial only where it succeeds at once', async () => {
    dials[0]!.succeed()
    expect(await result).to.equal(0)
    await advance(TIMEOUT_MS)
    expect(started()).to.equal(1)
  })

  it('starts the next dial beside one that hangs, and takes the first that succeeds', async () => {
    await advance(STAGGER_MS)
    expect(started()).to.equal(2)
    dials[1]!.succeed()
    expect(await result).to.equal(1)
    await advance(STAGGER_MS)
    expect(started()).to.equal(2)
  })

  it('starts the next dial at once when those before it have failed', async () => {
    dials[0]!.fail()
    await settle()
    dials[1]!.fail()
    await settle()
    expect(started()).to.equal(3)
    dials[2]!.succeed()
    expect(await result).to.equal(2)
  })

  it('closes the sockets of slower dials', async () => {
    await advance(STAGGER_MS)
    dials[1]!.succeed()
    await result
    dials[0]!.succeed()
    await settle()
    expect(dials.map(({ socket }) => socket.destroyed)).to.deep.equal([true, false, false])
  })

  it('fails with the first dial\'s error once all have failed, and after its time limit', async () => {
    await advance(2 * STAGGER_MS)
    for (const dial of dials) dial.fail()
    expect(await result).to.equal('refused')
    const hanging = dialStaggered(clock, [createDial().dial], STAGGER_MS, TIMEOUT_MS).catch((error: Error) => error.message)
    await advance(TIMEOUT_MS)
    expect(await hanging).to.equal(`no connection within ${TIMEOUT_MS} ms`)
  })
})

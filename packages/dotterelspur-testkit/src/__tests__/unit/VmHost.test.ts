import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { ManualClock, VmRole } from 'dotterelspur'
import { VmHost, VmPower } from '../../index.js'
import { TimerSet } from '../../process/TimerSet.js'

const PLACE = { vm: 'vm-1', role: VmRole.Engine, region: 'perth', failureDomain: 'perth-a', fabricDomain: 'fabric-1' }

async function startHost (onRequest: (host: VmHost, socket: Socket) => void): Promise<VmHost> {
  const host = new VmHost(PLACE, (itself, request) => { onRequest(itself, request.socket) }, () => {})
  await host.start(() => {})
  return host
}

describe('VmHost', () => {
  it('closes a half-closed connection when it dies', async () => {
    // Guards against a process that never exits: a caller leaves, and the VM is killed while the server still closes its side. Resetting
    // such a socket fails inside Node.js, and its handle never closes.
    let closed: Promise<void> | undefined
    const host = await startHost((itself, socket) => {
      closed = new Promise((resolve) => { socket.once('close', () => { resolve() }) })
      socket.on('error', () => {})
      socket.end()
      itself.kill()
    })
    const client = connect(Number(new URL(host.record()!.address).port), '127.0.0.1')
    client.on('error', () => {})
    client.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    await new Promise((resolve) => { client.once('close', resolve) })
    await closed
    expect(host.power).to.equal(VmPower.Dead)
  })
})

describe('TimerSet', () => {
  it('sets no timers after the process has died', () => {
    // Guards against a process that runs for a minute after its stand-ins were stopped: ended runs set a timer after the engine's
    // timers have been cleared.
    const clock = new ManualClock()
    const timers = new TimerSet(clock)
    const fired: string[] = []
    timers.after(10, () => { fired.push('before') })
    timers.close()
    timers.after(10, () => { fired.push('after') })
    clock.advance(20)
    expect(fired).to.deep.equal([])
  })
})

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
  it('closes a connection that is just ending when it dies', async () => {
    // Symptom: a program with the stand-ins never ends, at full load, with its event loop already stopped.
    // Sequence: a caller leaves, the server ends its side, the VM is killed before that is through.
    // Cause: resetting such a socket fails inside the runtime, and its handle then never closes.
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
  it('sets no timer for a process that has died', () => {
    // Symptom: a program goes on for a minute after its stand-ins were stopped.
    // Sequence: the engine dies and its timers are cleared; its runs end by that and ask to be forgotten later.
    // Cause: the timer that is set while everything ends belongs to nobody.
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

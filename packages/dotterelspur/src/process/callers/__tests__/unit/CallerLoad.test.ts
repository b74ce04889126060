import { expect } from 'chai'
import { ManualClock } from '../../../Clock.js'
import { CallerLoad, ShedReason } from '../../CallerLoad.js'
import { callerLoadLimits, DEFAULT_MACHINE, type CallerLoadLimits } from '../../callerLimits.js'
import { HeldKind, type ConnectionLoad } from '../../ConnectionLoad.js'

const KIB = 1_024
const MIB = KIB * KIB
/** What a connection counts for by itself. */
const CONNECTION_BYTES = 16 * KIB

interface Client {
  readonly load: ConnectionLoad
  /** Why the connection was closed. */
  readonly closedBy: ShedReason[]
  awaitsCaller: boolean
}

function createLoad (limits: Partial<CallerLoadLimits> = {}): { load: CallerLoad, clock: ManualClock, connect: () => Client } {
  const clock = new ManualClock()
  const load = new CallerLoad({ heldBytes: MIB, connections: 10, ...limits }, clock)
  const connect = (): Client => {
    const closedBy: ShedReason[] = []
    const state = { awaitsCaller: false, closedBy }
    const added = load.add({ get awaitsCaller () { return state.awaitsCaller }, close: (reason) => { closedBy.push(reason) } })
    return Object.assign(state, { load: added! })
  }
  return { load, clock, connect }
}

describe('CallerLoad', () => {
  it('counts what connections hold, and nothing of them once they are gone', () => {
    const { load, connect } = createLoad()
    const { load: held } = connect()
    held.hold(HeldKind.Bodies, 1_000)
    held.grow(HeldKind.Bodies, 500)
    held.hold(HeldKind.Responses, 200)
    expect([load.connections, load.heldBytes]).to.deep.equal([1, CONNECTION_BYTES + 1_700])
    held.release()
    held.grow(HeldKind.Bodies, -1_500)
    expect([load.connections, load.heldBytes]).to.deep.equal([0, 0])
  })

  // Guards against a process that ends because many connections hold little each.
  it('closes those that hold most until all are within the limit', () => {
    const { load, connect } = createLoad({ connections: 100 })
    const clients = Array.from({ length: 50 }, connect)
    clients.forEach((client, index) => { client.load.hold(HeldKind.Bodies, (50 - index) * KIB) })
    const closed = clients.map(({ closedBy }) => closedBy.length)
    expect(load.shedCount(ShedReason.Memory)).to.be.greaterThan(0)
    expect(closed).to.deep.equal(clients.map((_client, index) => index < load.shedCount(ShedReason.Memory) ? 1 : 0))
    expect(load.heldBytes).to.be.at.most(MIB + CONNECTION_BYTES + 50 * KIB)
  })

  // Guards against callers that pay for others: one that reads nothing holds less than one that sends a large body.
  it('closes those without progress before those that hold more', () => {
    const { clock, connect } = createLoad()
    const [stalled, busy, other] = [connect(), connect(), connect()]
    stalled!.awaitsCaller = true
    stalled!.load.hold(HeldKind.Responses, 300 * KIB)
    clock.advance(2_000)
    busy!.awaitsCaller = true
    busy!.load.noteProgress()
    busy!.load.hold(HeldKind.Bodies, 700 * KIB)
    other!.load.hold(HeldKind.Bodies, 800 * KIB)
    expect([stalled!.closedBy, busy!.closedBy, other!.closedBy]).to.deep.equal([[ShedReason.Memory], [], []])
  })

  // Guards against callers that make progress and lose their connections, where refusals are enough.
  it('asks for refusals before it closes connections whose callers make progress, and after it has closed the others', () => {
    const { load, clock, connect } = createLoad()
    const [stalled, waiting, busy] = [connect(), connect(), connect()]
    stalled!.awaitsCaller = true
    stalled!.load.hold(HeldKind.Responses, 50 * KIB)
    clock.advance(2_000)
    const closedBefore: number[] = []
    load.registerRelief(() => {
      closedBefore.push(stalled!.closedBy.length)
      waiting!.load.hold(HeldKind.Bodies, 0)
      return closedBefore.length === 1
    })
    for (const client of [waiting!, busy!]) client.load.noteProgress()
    waiting!.load.hold(HeldKind.Bodies, 900 * KIB)
    const third = connect()
    third.load.hold(HeldKind.Bodies, 500 * KIB)
    busy!.load.hold(HeldKind.Bodies, 600 * KIB)
    expect(closedBefore[0]).to.equal(1)
    expect([waiting!, third, busy!].map(({ closedBy }) => closedBy)).to.deep.equal([[], [], []])
  })

  // Guards against a node that loses its callers and its links to other nodes to thousands of connections that send nothing.
  it('closes unused connections before callers with usual requests and links between nodes', () => {
    const { load, clock, connect } = createLoad({ connections: 1_000 })
    const [link, caller, kept] = [connect(), connect(), connect()]
    link!.load.noteUpgrade()
    link!.load.hold(HeldKind.Unparsed, 4 * KIB)
    caller!.load.beginRequest()
    caller!.load.hold(HeldKind.Bodies, 10 * KIB)
    kept!.load.beginRequest()
    kept!.load.endRequest()
    clock.advance(1)
    const silent = Array.from({ length: 200 }, connect)
    expect(load.heldBytes).to.be.at.most(MIB + CONNECTION_BYTES + 46 * KIB)
    expect([link!, caller!, kept!].map(({ closedBy }) => closedBy)).to.deep.equal([[], [], []])
    expect(silent.filter(({ closedBy }) => closedBy.length > 0).length).to.be.greaterThan(100)
  })

  // Guards against a single request within the limits that is refused in calm.
  it('holds one connection of any size', () => {
    const { connect } = createLoad()
    const [large, small] = [connect(), connect()]
    large!.load.hold(HeldKind.Responses, 40 * MIB)
    small!.load.hold(HeldKind.Bodies, 100 * KIB)
    expect([large!.closedBy, small!.closedBy]).to.deep.equal([[], []])
  })

  // Guards against a process that runs out of descriptors, and against ordinary callers that can't connect any more.
  it('closes a connection that never had a request for a new one, then one that is unused for longest', () => {
    const { clock, connect } = createLoad({ connections: 3 })
    const clients = [0, 1, 2].map(() => {
      clock.advance(10)
      return connect()
    })
    clients[0]!.load.beginRequest()
    clients[1]!.load.beginRequest()
    clients[1]!.load.endRequest()
    connect().load.beginRequest()
    expect(clients.map(({ closedBy }) => closedBy)).to.deep.equal([[], [], [ShedReason.Connections]])
    connect().load.beginRequest()
    expect(clients.map(({ closedBy }) => closedBy)).to.deep.equal([[], [ShedReason.Connections], [ShedReason.Connections]])
  })

  it('takes no further connection while all have requests whose callers make progress', () => {
    const { load, connect } = createLoad({ connections: 2 })
    for (const { load: held } of [connect(), connect()]) held.beginRequest()
    expect(load.add({ awaitsCaller: false, close: () => {} })).to.equal(null)
    expect(load.shedCount(ShedReason.Connections)).to.equal(1)
  })

  // Guards against bodies and responses that are held for as long as a caller likes.
  it('closes connections whose callers owe progress for too long, and no others', () => {
    const { load, clock, connect } = createLoad()
    const [owing, served] = [connect(), connect()]
    owing!.awaitsCaller = true
    clock.advance(14_000)
    load.closeStalled(15_000)
    expect(owing!.closedBy).to.deep.equal([])
    clock.advance(1_000)
    load.closeStalled(15_000)
    expect([owing!.closedBy, served!.closedBy]).to.deep.equal([[ShedReason.Stalled], []])
  })

  it('makes room by closing what has been loaded and has stalled', () => {
    const { load, clock, connect } = createLoad()
    const [stalled, unloaded, moving] = [connect(), connect(), connect()]
    for (const client of [stalled!, unloaded!, moving!]) client.awaitsCaller = true
    stalled!.load.hold(HeldKind.Bodies, 100)
    moving!.load.hold(HeldKind.Bodies, 100)
    clock.advance(1_500)
    moving!.load.noteProgress()
    load.makeRoom()
    expect([stalled!.closedBy, unloaded!.closedBy, moving!.closedBy]).to.deep.equal([[ShedReason.Memory], [], []])
  })
})

describe('callerLoadLimits', () => {
  const MACHINES = [
    { name: 'the smallest machine', machine: DEFAULT_MACHINE, limits: { heldBytes: 36_000_000, connections: 2_870 } },
    { name: 'a larger one', machine: { memoryBytes: 350_000_000, descriptors: 4_100 }, limits: { heldBytes: 66_000_000, connections: 2_870 } },
    { name: 'one that holds little more than the program', machine: { memoryBytes: 160_000_000, descriptors: 1_000 }, limits: { heldBytes: 24 * MIB, connections: 700 } },
    { name: 'one with more memory than the heap may use', machine: { memoryBytes: 4_000_000_000, descriptors: 8_192 }, limits: { heldBytes: 128 * MIB, connections: 5_734 } }
  ]
  for (const { name, machine, limits } of MACHINES) {
    it(`follows from ${name}`, () => { expect(callerLoadLimits(machine)).to.deep.equal(limits) })
  }
})

import { expect } from 'chai'
import { GroupState } from 'dotterelspur'
import { FleetWorld } from '../FleetWorld.js'

describe('Fleet', () => {
  it('takes the lease, forms the wanted group and publishes it as complete', async () => {
    const world = new FleetWorld()
    await world.runUntil('group serves', () => world.isServing(world.group()), 10_000)
    const group = world.group()!
    expect(group.members).to.have.length(2)
    expect(world.isActuallyComplete(group)).to.equal(true)
    await world.runUntil('state is serving', () => world.group()!.state === GroupState.Serving, 3_000)
    expect(world.lease('fd-1')).to.include({ holder: 'n1', fencing: 1 })
    await world.stop()
  })

  it('replaces a dead member', async () => {
    const world = new FleetWorld()
    await world.runUntil('group serves', () => world.isServing(world.group()), 10_000)
    const before = world.group()!
    world.kill(before.members[1]!.vm)
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(before), 3_000)
    expect(stoppedMs).to.be.below(1_000)
    await world.runUntil('group serves again', () => world.group()!.formation > before.formation && world.isServing(world.group()), 20_000)
    expect(world.isActuallyComplete(world.group()!)).to.equal(true)
    await world.stop()
  })
})

import { expect } from 'chai'
import { DEFAULT_EVIDENCE_TTL_MS, GroupState, OrderKind } from 'dotterelspur'
import { DEFAULT_FLEET_TIMING } from '../../index.js'
import { FleetWorld, type WorldOptions } from '../FleetWorld.js'

const SEEDS = 40
/** Longest time between two probes of a member of a serving group: the steady interval, 10% jitter and one step of the clock. */
const MAX_PROBE_GAP_MS = 1.1 * DEFAULT_FLEET_TIMING.steadyProbeIntervalMs + 20
const THREE_NODES: WorldOptions = { nodes: ['fd-1', 'fd-1', 'fd-1'], vmsPerFabricDomain: { 'fd-1.a': 4 } }

/** Prints the measurements when FLEET_MEASURE is set. The bounds are always checked. */
function report (what: string, samplesMs: readonly number[]): void {
  if (process.env['FLEET_MEASURE'] === undefined) return
  const sorted = [...samplesMs].sort((left, right) => left - right)
  const at = (share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
  console.log(`${what}: n ${sorted.length}, min ${sorted[0]}, median ${at(0.5)}, p95 ${at(0.95)}, max ${sorted.at(-1)}`)
}

/** Takes one sample per seed, from a world whose group is serving, at a time that differs between seeds. */
async function sample (options: WorldOptions, measure: (world: FleetWorld) => Promise<number>): Promise<number[]> {
  const samples: number[] = []
  for (let seed = 1; seed <= SEEDS; seed++) {
    const world = new FleetWorld({ ...options, seed })
    await world.runUntil('group serves', () => world.isServing(world.group()) && world.group()!.state === GroupState.Serving, 20_000)
    await world.run(4_000 + 97 * seed)
    samples.push(await measure(world))
    await world.stop()
  }
  return samples
}

function isNewHolderActive (world: FleetWorld): boolean {
  return world.holders('fd-1').length === 1 && world.assignment('fd-1.a')!.fencing === world.lease('fd-1')!.fencing
}

describe('Fleet, measured on virtual time', () => {
  it('time from killing the lease holder to the next one adopting the assignment: below 11 s', async () => {
    const samples = await sample(THREE_NODES, async (world) => {
      world.killNode(world.holder('fd-1'))
      return await world.runUntil('the next holder has adopted the assignment', () => isNewHolderActive(world), 20_000)
    })
    report('holder killed to next holder adopting, ms', samples)
    expect(Math.max(...samples)).to.be.below(11_000)
  })

  it('time from killing a member to no more dispatch: within one steady probe interval', async () => {
    const samples = await sample(THREE_NODES, async (world) => {
      const group = world.group()!
      world.kill(group.members[1]!.vm)
      return await world.runUntil('no more dispatch', () => !world.isServing(group), 5_000)
    })
    report('member killed to no more dispatch, ms', samples)
    expect(Math.max(...samples)).to.be.at.most(MAX_PROBE_GAP_MS)
  })

  it('time from killing a member to serving again with a loaded standby: less than 3 s plus the join', async () => {
    const joinMs = 100
    const samples = await sample(THREE_NODES, async (world) => {
      const group = world.group()!
      world.kill(group.members[1]!.vm)
      return await world.runUntil('serves again', () => world.group()!.formation > group.formation && world.isServing(world.group()), 30_000) - joinMs
    })
    report('member killed to serving again with a loaded standby, less the join, ms', samples)
    expect(Math.max(...samples)).to.be.below(3_000)
  })

  it('time from a member not responding to no more dispatch: within the evidence TTL', async () => {
    const samples = await sample(THREE_NODES, async (world) => {
      const group = world.group()!
      world.engines.get(group.members[1]!.vm).paused = true
      return await world.runUntil('no more dispatch', () => !world.isServing(group), 5_000)
    })
    report('member not responding to no more dispatch, ms', samples)
    expect(Math.max(...samples)).to.be.at.most(DEFAULT_EVIDENCE_TTL_MS + 40)
  })

  it('time from a stale order executed by an engine that ignores fencing to no more dispatch: within one steady probe interval', async () => {
    const back: number[] = []
    const samples = await sample({ ...THREE_NODES, checksFencing: false }, async (world) => {
      const group = world.group()!
      const stray = world.engines.get(group.members[1]!.vm)
      world.engines.execute(stray, { kind: OrderKind.Form, group: 'fd-1.a.g0', formation: 1, fabricDomain: 'fd-1.a', rank: 0, members: [], model: 'summary', version: '1', adapters: [] }, 0)
      const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(group), 5_000)
      back.push(stoppedMs + await world.runUntil('serves again', () => world.isServing(world.group()), 10_000))
      return stoppedMs
    })
    report('stale order executed to no more dispatch, ms', samples)
    report('stale order executed to serving again (join 100 ms), ms', back)
    expect(Math.max(...samples)).to.be.at.most(MAX_PROBE_GAP_MS)
  })

  it('the total rate of store calls grows with the number of failure domains, not of nodes', async () => {
    for (const [failureDomains, nodesEach] of [[1, 4], [3, 3], [3, 6], [6, 3]] as const) {
      const domains = Array.from({ length: failureDomains }, (_, index) => `fd-${index + 1}`)
      const world = new FleetWorld({
        nodes: domains.flatMap((domain) => Array.from({ length: nodesEach }, () => domain)),
        vmsPerFabricDomain: Object.fromEntries(domains.map((domain) => [`${domain}.a`, 4])),
        intent: { replicas: failureDomains }
      })
      await world.run(60_000)
      const before = world.nodes.map(({ calls }) => ({ ...calls }))
      await world.run(60_000)
      const perSecond = (kind: 'reads' | 'writes'): number => world.nodes.reduce((sum, node, index) => sum + node.calls[kind] - before[index]![kind], 0) / 60
      const [reads, writes] = [perSecond('reads'), perSecond('writes')]
      if (process.env['FLEET_MEASURE'] !== undefined) {
        console.log(`${failureDomains} failure domains, ${failureDomains * nodesEach} nodes: ${reads.toFixed(2)} reads/s, ${writes.toFixed(2)} writes/s (VM list not counted)`)
      }
      expect(reads / failureDomains).to.be.at.most(2 / 1.5)
      expect(writes / failureDomains).to.be.at.most(1 / 1.5)
      await world.stop()
    }
  })
})

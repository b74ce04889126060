import { expect } from 'chai'
import { ManualClock, NodeState, PriorityClass, TargetKind, success, type NodeMember, type ServiceTarget, type TeamSettings } from 'dotterelspur'
import { MemoryMesh, createMember } from 'dotterelspur-testkit'
import { TeamTable } from '../../index.js'
import { AdmissionGate, serviceLane } from '../../process/AdmissionGate.js'
import { teamSettings } from '../fixtures/harness.js'

const TEAM = 'tradeline'
const REQUESTS_PER_SECOND = 20
const CONCURRENT = 8
const RUN_MS = 10_000
const STEP_MS = 50
/** The burst of a team, in seconds of its rate; see `TeamLimiter`. */
const BURST_SECONDS = 2

const TARGET: ServiceTarget = {
  kind: TargetKind.Service,
  id: 'desk/w1/1',
  address: 'http://w1',
  region: 'perth',
  failureDomain: 'fd-1',
  evidenceExpiresAtMs: Infinity,
  leaving: false,
  load: { running: 0, waiting: 0, capacity: 10_000, cacheUsed: 0, ageMs: 0 },
  loadRequestedAtMs: 0,
  service: 'desk',
  vm: 'w1',
  incarnation: 1
}

/** Nodes whose team settings are in force before they know each other, as while nodes start. */
class GateFleet {
  readonly clock = new ManualClock()
  private readonly members: NodeMember[]
  private readonly meshes: MemoryMesh[]
  private readonly gates: AdmissionGate[]
  private requests = 0

  constructor (nodes: number, limits: Partial<TeamSettings['limits']>) {
    this.members = Array.from({ length: nodes }, (_unused, index) => createMember({ node: `n${index}` }))
    this.meshes = this.members.map((member) => new MemoryMesh(member))
    this.gates = this.meshes.map((mesh) => {
      mesh.offerDocument({ key: `teams/${TEAM}`, version: 1, body: { team: TEAM }, deleted: false })
      const settings = teamSettings(TEAM)
      const teams = new TeamTable(mesh, () => success({ ...settings, limits: { ...settings.limits, ...limits } }))
      const gate = new AdmissionGate(this.clock, mesh, teams)
      gate.start()
      gate.configureLanes([TARGET])
      return gate
    })
  }

  /** All nodes know each other in these states. */
  introduce (states: readonly NodeState[]): void {
    const members = this.members.map((member, index) => ({ ...member, state: states[index] ?? NodeState.Alive }))
    this.meshes.forEach((mesh, index) => { mesh.setOthers(members.filter((_member, other) => other !== index)) })
  }

  /** Offers a request at each of the first nodes; returns how many were dispatched at once, with how to end them. */
  async offer (nodes = this.gates.length): Promise<Array<() => void>> {
    const ends = await Promise.all(this.gates.slice(0, nodes).map(async (gate) => {
      const id = `r${this.requests++}`
      const entered = await Promise.race([
        gate.enter({ id, team: TEAM, lane: serviceLane('desk'), priority: PriorityClass.Interactive, tokens: 0, deadlineAtMs: Infinity }),
        new Promise<null>((resolve) => { setImmediate(resolve, null) })
      ])
      return entered?.ok === true ? () => { gate.leave(id, { firstTokenMs: null, overloaded: false, tokens: 0 }) } : null
    }))
    return ends.filter((end) => end !== null)
  }

  /** Requests that are dispatched while callers send more to the first nodes than the limit allows. */
  async dispatched (nodes?: number): Promise<number> {
    let count = 0
    for (let passedMs = 0; passedMs < RUN_MS; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS)
      for (let ends = await this.offer(nodes); ends.length > 0; ends = await this.offer(nodes)) {
        count += ends.length
        for (const end of ends) end()
      }
    }
    return count
  }
}

describe('AdmissionGate', () => {
  // Guards against nodes that apply a team's limit as if the mesh were as large as when the team's settings came.
  it('keeps a team within its rate over all nodes that have joined since its settings came', async () => {
    const fleet = new GateFleet(4, { requestsPerSecond: REQUESTS_PER_SECOND })
    fleet.introduce([])
    expect(await fleet.dispatched()).to.be.at.most(REQUESTS_PER_SECOND * (RUN_MS / 1_000 + BURST_SECONDS))
  })

  it('keeps a team within its concurrent requests over all nodes that have joined since its settings came', async () => {
    const fleet = new GateFleet(4, { concurrentRequests: CONCURRENT })
    fleet.introduce([])
    let running = 0
    for (let attempt = 0; attempt < 2 * CONCURRENT; attempt++) running += (await fleet.offer()).length
    expect(running).to.equal(CONCURRENT)
  })

  it('gives a team its whole rate at the nodes that are left', async () => {
    const fleet = new GateFleet(4, { requestsPerSecond: REQUESTS_PER_SECOND })
    fleet.introduce([])
    fleet.introduce([NodeState.Alive, NodeState.Alive, NodeState.Dead, NodeState.Left])
    expect(await fleet.dispatched(2)).to.be.within(REQUESTS_PER_SECOND * RUN_MS / 1_000, REQUESTS_PER_SECOND * (RUN_MS / 1_000 + BURST_SECONDS))
  })
})

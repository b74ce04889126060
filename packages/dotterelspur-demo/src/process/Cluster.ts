import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { TEAM_PREFIX, sleep } from 'dotterelspur'
import type { Clock } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { EndpointFleet, FencingMode, PlatformServer, WeightBandwidth } from 'dotterelspur-testkit'
import type { EngineSettings } from 'dotterelspur-testkit'
import type { ClusterLayout, NodePlan } from './ClusterLayout.js'
import { createLayout } from './ClusterLayout.js'
import type { ClusterNode } from './ClusterNode.js'
import { ControlServer } from './ControlServer.js'
import { MeshRelay } from './MeshRelay.js'
import { NodeProcess } from './NodeProcess.js'
import { findFreePorts, nodeSettingsText } from './nodeSettings.js'
import { Operator } from './Operator.js'
import { registerVmListFeed } from './VmListFeed.js'

/** Options of a cluster on loopback. */
export interface ClusterOptions {
  readonly nodes?: number
  readonly seed?: number
  readonly engine?: Partial<EngineSettings>
  readonly fencing?: FencingMode
  /** Time that a supervisor leaves nodes to stop; it waits if absent. */
  readonly stopGraceMs?: number
  /** Replaces the demo's own layout. */
  readonly layout?: ClusterLayout
  /** Receives a message for each step of the start. */
  readonly onProgress?: (message: string) => void
}

export const DEFAULT_NODES = 4
export const DEFAULT_SEED = 7
const VM_LIST_LAG_MS = 300
const WEIGHT_BYTES_PER_SECOND = 2_000_000_000
const WEIGHT_BYTES_PER_VM = 150_000_000
const READY_TIMEOUT_MS = 40_000
const POLL_MS = 100

/** The stand-ins and node processes of one run, all on loopback; `stop` ends them all. */
export class Cluster {
  readonly nodes: ClusterNode[] = []
  readonly operator: Operator
  readonly control: ControlServer
  private readonly clock: Clock = new SystemClock()
  private readonly relay = new MeshRelay()
  private folder = ''
  private readonly killNodes = (): void => { for (const node of this.nodes) node.process.signal('SIGKILL') }

  private constructor (
    readonly layout: ClusterLayout,
    readonly platform: PlatformServer,
    readonly endpoints: EndpointFleet,
    private readonly nodeOptions: { readonly fencing: FencingMode, readonly stopGraceMs?: number },
    private readonly progress: (message: string) => void
  ) {
    this.operator = new Operator(layout.adminToken, () => this.nodes.map((node) => node.admin))
    this.control = new ControlServer(this)
  }

  /** Starts everything, and waits until all nodes report that all declared groups serve. */
  static async start (options: ClusterOptions = {}): Promise<Cluster> {
    const seed = options.seed ?? DEFAULT_SEED
    const layout = options.layout ?? createLayout(options.nodes ?? DEFAULT_NODES, seed)
    const fencing = options.fencing ?? FencingMode.Checked
    const platform = new PlatformServer({ seed })
    const weights = new WeightBandwidth(new SystemClock(), WEIGHT_BYTES_PER_SECOND)
    const endpoints = new EndpointFleet({
      places: layout.places,
      engine: { fencing, weightBytesPerVm: WEIGHT_BYTES_PER_VM, ...options.engine },
      requestLoad: (sizeBytes) => weights.take(sizeBytes),
      seed
    })
    const cluster = new Cluster(layout, platform, endpoints, { fencing, stopGraceMs: options.stopGraceMs }, options.onProgress ?? (() => {}))
    process.once('exit', cluster.killNodes)
    try {
      await cluster.startAll()
    } catch (error) {
      await cluster.stop()
      throw error
    }
    return cluster
  }

  /** Kills all node processes, stops the stand-ins and removes the run's files. */
  async stop (): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.process.kill()))
    process.off('exit', this.killNodes)
    this.relay.close()
    await this.control.close()
    this.endpoints.stop()
    await this.platform.stop()
    if (this.folder !== '') await rm(this.folder, { recursive: true, force: true })
  }

  private async startAll (): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'dotterelspur-demo-'))
    await this.platform.start()
    await this.endpoints.start()
    this.platform.vms.setFaults({ lagMs: VM_LIST_LAG_MS })
    registerVmListFeed(this.endpoints, this.platform)
    await this.control.listen()
    this.progress(`${this.layout.places.length} endpoint VMs and the platform's stand-in are up`)
    for (const plan of this.layout.nodes) this.nodes.push(await this.createNode(plan))
    for (const node of this.nodes) node.process.start()
    await this.waitFor('every node to be registered', async () => this.platform.objects.list('nodes/').objects.length === this.nodes.length)
    this.progress(`nodes up: ${this.nodes.map((node) => node.plan.id).join(', ')}`)
    await this.applyTeams()
    await this.waitFor('every group to serve at every node', () => this.allServe())
    this.progress('every group serves')
  }

  private async createNode (plan: NodePlan): Promise<ClusterNode> {
    const ports = await findFreePorts(plan.host)
    const meshAddress = await this.relay.open(plan.relayHost, { host: plan.host, port: ports.mesh })
    const { region, meshKey, adminToken } = this.layout
    const text = nodeSettingsText({ plan, region, ports, meshAddress, meshKey, adminToken, platformUrl: this.platform.url, ...this.nodeOptions })
    const path = join(this.folder, `${plan.id}.ini`)
    await writeFile(path, text, { mode: 0o600 })
    return {
      plan,
      process: new NodeProcess(plan.id, path, join(this.folder, `${plan.id}.log`)),
      entry: `http://${plan.host}:${ports.entry}`,
      admin: `http://${plan.host}:${ports.admin}`,
      mesh: `http://${plan.host}:${ports.mesh}`,
      setIsolated: (isolated) => { this.setIsolated(plan.host, isolated) }
    }
  }

  private setIsolated (host: string, isolated: boolean): void {
    if (isolated) {
      this.relay.isolate(host)
      this.platform.faults.cutOff(host)
    } else {
      this.relay.restore(host)
      this.platform.faults.restore(host)
    }
  }

  private async applyTeams (): Promise<void> {
    for (const { team, settings } of this.layout.teams) {
      const path = join(this.folder, `${team}.ini`)
      await writeFile(path, settings)
      await this.waitFor(`the settings of ${team} to be applied`, async () => (await this.operator.run(['apply', path, '--replace'])).done)
      this.progress(`the settings of team ${team} are applied, version ${this.platform.objects.get(`${TEAM_PREFIX}${team}`)?.version}`)
    }
  }

  /** Whether each node reports that all declared groups serve. */
  private async allServe (): Promise<boolean> {
    const declared = this.layout.teams.reduce((sum, team) => sum + team.replicas, 0)
    for (const node of this.nodes) {
      const serving = await this.operator.servingGroups(node.admin)
      if (serving < declared) return false
    }
    return true
  }

  private async waitFor (what: string, condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = this.clock.nowMs() + READY_TIMEOUT_MS
    while (!await condition()) {
      await this.throwIfNodeExited()
      if (this.clock.nowMs() > deadlineMs) throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting for ${what}\n${await this.operator.describeGroups()}`)
      await sleep(this.clock, POLL_MS)
    }
  }

  private async throwIfNodeExited (): Promise<void> {
    for (const { process: node } of this.nodes) {
      if (!node.running) throw new Error(`node ${node.id} exited:\n${await node.logTail()}`)
    }
  }
}

/** Starts a cluster on loopback: stand-ins, control server and node processes. */
export function startCluster (options: ClusterOptions = {}): Promise<Cluster> {
  return Cluster.start(options)
}

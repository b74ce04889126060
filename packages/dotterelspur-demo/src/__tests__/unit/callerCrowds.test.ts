import { expect } from 'chai'
import { callPatiently, Crowd, CrowdKind, ProcessUsage, type CrowdTarget, type PatientOutcome } from 'dotterelspur-testkit'
import { Cluster } from '../../process/Cluster.js'
import type { ClusterNode } from '../../process/ClusterNode.js'

const TIMEOUT_MS = 300_000
/** The smallest machine of the users' pages; some descriptors are kept for files. */
const MACHINE_MEMORY_BYTES = 250_000_000
const MAX_DESCRIPTORS = 4_100 - 200
const MODELS_PATH = '/v1/chat/completions'

/** The listeners of a node. */
enum NodeListener {
  Entry = 'entry',
  Admin = 'admin',
  Mesh = 'mesh'
}

type CrowdCase = readonly [CrowdKind, NodeListener]

const CASES: readonly CrowdCase[] = [
  [CrowdKind.PipelinedWithoutHost, NodeListener.Entry],
  [CrowdKind.PipelinedWithoutKey, NodeListener.Entry],
  [CrowdKind.PipelinedWithKey, NodeListener.Entry],
  [CrowdKind.Connections, NodeListener.Entry],
  [CrowdKind.PartialHeads, NodeListener.Entry],
  [CrowdKind.LargeChunks, NodeListener.Entry],
  [CrowdKind.SmallChunks, NodeListener.Entry],
  [CrowdKind.SingleByteChunks, NodeListener.Entry],
  [CrowdKind.SmallBodies, NodeListener.Entry],
  [CrowdKind.PipelinedWithoutKey, NodeListener.Admin],
  [CrowdKind.Connections, NodeListener.Admin],
  [CrowdKind.PipelinedWithoutKey, NodeListener.Mesh],
  [CrowdKind.Connections, NodeListener.Mesh]
]

const TARGETS: Readonly<Record<NodeListener, { readonly small: string, readonly address: (node: ClusterNode) => string }>> = {
  [NodeListener.Entry]: { small: '/v1/entries', address: ({ entry }) => entry },
  [NodeListener.Admin]: { small: '/metrics', address: ({ admin }) => admin },
  [NodeListener.Mesh]: { small: '/mesh', address: ({ mesh }) => mesh }
}

/** A cluster of one node, and a crowd that its process is to outlive. */
class CrowdedNode {
  readonly usage: ProcessUsage
  private crowd: Crowd | null = null

  private constructor (private readonly cluster: Cluster, private readonly node: ClusterNode) {
    this.usage = new ProcessUsage(node.process.processId!)
  }

  static async start (): Promise<CrowdedNode> {
    const cluster = await Cluster.start({ nodes: 1, seed: 11 })
    return new CrowdedNode(cluster, cluster.nodes[0]!)
  }

  async meet (kind: CrowdKind, listener: NodeListener): Promise<Crowd> {
    this.crowd = await Crowd.start(kind, this.target(listener))
    return this.crowd
  }

  closeCrowd (): void {
    this.crowd?.close()
  }

  /** An ordinary request to a model. */
  async callOrdinarily (): Promise<PatientOutcome> {
    const { token, models } = this.cluster.layout.teams[0]!
    const { hostname, port } = new URL(this.node.entry)
    const body = JSON.stringify({ model: models[0], messages: [{ role: 'user', content: 'A trip' }], max_tokens: 4 })
    const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json', 'content-length': String(body.length) }
    return await callPatiently({ host: hostname, port: Number(port), path: MODELS_PATH, method: 'POST', headers, body })
  }

  async logTail (): Promise<string> {
    return await this.node.process.logTail()
  }

  async close (): Promise<void> {
    this.usage.stop()
    this.closeCrowd()
    await this.cluster.stop()
  }

  private target (listener: NodeListener): CrowdTarget {
    const { small, address } = TARGETS[listener]
    const { hostname, port } = new URL(address(this.node))
    const { token } = this.cluster.layout.teams[0]!
    return { host: hostname, port: Number(port), paths: { small, large: small, upload: MODELS_PATH }, hostHeader: hostname, keyLines: `Authorization: Bearer ${token}\r\n` }
  }
}

describe('A node of the product outlives', function () {
  this.timeout(TIMEOUT_MS)
  let node: CrowdedNode

  beforeEach(async () => { node = await CrowdedNode.start() })

  afterEach(async () => { await node.close() })

  // Guards against nodes that end, run out of descriptors or stop serving because of what callers make them hold.
  for (const [kind, listener] of CASES) {
    it(`${kind}, on the listener ${listener}`, async () => {
      expect((await node.meet(kind, listener)).connected, 'clients that were connected').to.be.greaterThan(0)
      const beside = await node.callOrdinarily()
      node.closeCrowd()
      const afterwards = await node.callOrdinarily()
      const { usage } = node
      expect(usage.isAlive, `the process runs: ${await node.logTail()}`).to.equal(true)
      expect(usage.peakMemoryBytes, 'peak of its memory').to.be.at.most(MACHINE_MEMORY_BYTES)
      expect(usage.peakDescriptors, 'peak of its descriptors').to.be.at.most(MAX_DESCRIPTORS)
      expect(beside.isAnswered, `a request beside the crowd: ${beside.attempts.join(', ')}`).to.equal(true)
      expect(afterwards.isAnswered, `a request after the crowd: ${afterwards.attempts.join(', ')}`).to.equal(true)
    })
  }
})

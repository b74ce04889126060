import { type CallEvent, CallEventKind, type CallHandler, type HomeId, homeOf, type InForceReport, type MeshApi, type NodeId, type NodeMember, NodeState } from 'dotterelspur'

/** Built-in call that returns the version of one document, at the called node and at other nodes that it calls in turn. */
export const IN_FORCE_METHOD = 'mesh/in-force'

interface InForceRequest {
  readonly key: string
  readonly timeoutMs: number
  /** Processes that the called node must query in turn. */
  readonly homes: readonly HomeId[]
}

/** Concurrent queries, both of the first node and of each node that queries others for it. */
const MAX_CONCURRENT_QUERIES = 32
/** Share of its timeout that a node grants to the nodes that it queries, so that its own response is not late. */
const FORWARDED_TIMEOUT_SHARE = 0.7

/** Creates the handler that serves the call on each node. */
export function createInForceHandler (mesh: MeshApi): CallHandler {
  return async function * (request) {
    const { key, timeoutMs, homes } = request as InForceRequest
    yield { node: mesh.self.node, version: mesh.document(key)?.version ?? 0 }
    yield * await queryAll(mesh, homes.map((home) => ({ home, request: { key, timeoutMs: timeoutMs * FORWARDED_TIMEOUT_SHARE, homes: [] } })), timeoutMs)
  }
}

/**
 * Collects the version of a document from all live nodes. One node of each failure domain is queried and queries the
 * others there, so that no node needs connections to all. Nodes without a report, as when the intermediate node
 * failed, are queried directly once.
 */
export async function collectInForce (mesh: MeshApi, key: string, timeoutMs: number): Promise<readonly InForceReport[]> {
  const own: InForceReport = { node: mesh.self.node, version: mesh.document(key)?.version ?? 0 }
  const others = mesh.members().filter((member) => member.node !== mesh.self.node && isUp(member))
  const queries = [...groupByFailureDomain(others).values()].map(([first, ...rest]) =>
    ({ home: homeOf(first!), request: { key, timeoutMs: timeoutMs * FORWARDED_TIMEOUT_SHARE, homes: rest.map(homeOf) } }))
  const reports = await queryAll(mesh, queries, timeoutMs * FORWARDED_TIMEOUT_SHARE)
  const answered = new Set<NodeId>(reports.map((report) => report.node))
  const missing = others.filter((member) => !answered.has(member.node))
  const retried = await queryAll(mesh, missing.map((member) => ({ home: homeOf(member), request: { key, timeoutMs, homes: [] } })), timeoutMs * (1 - FORWARDED_TIMEOUT_SHARE))
  return [own, ...reports, ...retried]
}

interface InForceQuery {
  readonly home: HomeId
  readonly request: InForceRequest
}

async function queryAll (mesh: MeshApi, queries: readonly InForceQuery[], timeoutMs: number): Promise<InForceReport[]> {
  const deadline = AbortSignal.timeout(Math.max(1, Math.round(timeoutMs)))
  const reports: InForceReport[] = []
  const pending = [...queries]
  const runQueries = async (): Promise<void> => {
    for (let query = pending.shift(); query !== undefined; query = pending.shift()) {
      for await (const event of mesh.call(query.home, IN_FORCE_METHOD, query.request, deadline)) reports.push(...reportOf(event))
    }
  }
  await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_QUERIES, queries.length) }, runQueries))
  return reports
}

function reportOf (event: CallEvent): InForceReport[] {
  if (event.kind !== CallEventKind.Message) return []
  const report = event.message as Partial<InForceReport> | null
  return typeof report?.node === 'string' && typeof report.version === 'number' ? [{ node: report.node, version: report.version }] : []
}

function isUp (member: NodeMember): boolean {
  return member.state !== NodeState.Dead && member.state !== NodeState.Left
}

function groupByFailureDomain (members: readonly NodeMember[]): Map<string, NodeMember[]> {
  const domains = new Map<string, NodeMember[]>()
  for (const member of members) domains.set(member.failureDomain, [...domains.get(member.failureDomain) ?? [], member])
  return domains
}

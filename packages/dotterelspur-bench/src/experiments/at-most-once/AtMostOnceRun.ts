import { POLICIES, Verdict, type PolicyKind } from './Policy.js'
import { EventKind, makeTraffic, type TrafficOptions } from './Traffic.js'

export interface AtMostOnceResult {
  readonly requests: number
  readonly repeats: number
  readonly restarts: number
  readonly storeCalls: number
  /** Keys that ran more than once. */
  readonly ranTwice: number
  /** Submissions that were told unknown. */
  readonly unknown: number
  /** First submissions that were refused. */
  readonly refused: number
}

/** Runs one policy over one seed's traffic. */
export function runAtMostOnce (kind: PolicyKind, options: TrafficOptions, seed: number): AtMostOnceResult {
  const policy = POLICIES[kind](options, seed)
  const down = new Set<number>()
  const runs = new Map<number, number>()
  const outageFromMs = options.durationMs / 2
  const outageToMs = outageFromMs + options.durationMs * options.outageShare
  const counts = { requests: 0, repeats: 0, restarts: 0, unknown: 0, refused: 0 }
  for (const event of makeTraffic(options, seed)) {
    if (event.kind === EventKind.NodeDown) {
      down.add(event.node)
      counts.restarts += 1
      policy.nodeDown(event.node, event.atMs)
      continue
    }
    if (event.kind === EventKind.NodeUp) {
      down.delete(event.node)
      policy.nodeUp(event.node, event.atMs)
      continue
    }
    const node = firstUp(event.node, options.nodes, down)
    if (event.first) counts.requests += 1
    else counts.repeats += 1
    const verdict = policy.decide({ atMs: event.atMs, key: event.key, node, runMs: event.runMs, storeOut: event.atMs >= outageFromMs && event.atMs < outageToMs })
    if (verdict === Verdict.Run) runs.set(event.key, (runs.get(event.key) ?? 0) + 1)
    if (verdict === Verdict.Unknown) counts.unknown += 1
    if (verdict === Verdict.Refused && event.first) counts.refused += 1
  }
  const ranTwice = [...runs.values()].filter((count) => count > 1).length
  return { ...counts, storeCalls: policy.storeCalls, ranTwice }
}

function firstUp (node: number, nodes: number, down: ReadonlySet<number>): number {
  for (let step = 0; step < nodes; step += 1) {
    const candidate = (node + step) % nodes
    if (!down.has(candidate)) return candidate
  }
  return node
}

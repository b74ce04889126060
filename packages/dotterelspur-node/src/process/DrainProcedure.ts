import { perform, type Effect, type Procedure } from 'dotterelspur'

/** The steps of a drain, in the order in which they run. */
export enum DrainEffectKind {
  /** Announces the drain to the mesh, so that peers remove this node from the directory that they give to callers. */
  AnnounceDraining = 'announce-draining',
  /** Makes the callers' listener refuse new requests and name other nodes in the response. */
  RefuseNewWork = 'refuse-new-work',
  /** Marks this node's object in the platform's store as draining. */
  RegisterDraining = 'register-draining',
  /** Hands the leases over to other nodes, after the orders in progress have completed. */
  HandOverLeases = 'hand-over-leases',
  /** Waits until no request runs on this node: true when that happened within `timeoutMs`, false otherwise. */
  WaitForRequests = 'wait-for-requests',
  /** Logs how many requests are still running. */
  ReportWaiting = 'report-waiting',
  /** Waits until other nodes have had time to take over the endpoints that this node probes. */
  WaitForSuccessors = 'wait-for-successors',
  /** Closes listeners and connections. */
  Close = 'close'
}

export type DrainEffect =
  | Effect<DrainEffectKind.AnnounceDraining, void>
  | Effect<DrainEffectKind.RefuseNewWork, void>
  | Effect<DrainEffectKind.RegisterDraining, void>
  | Effect<DrainEffectKind.HandOverLeases, void>
  | Effect<DrainEffectKind.WaitForRequests, boolean> & { readonly timeoutMs: number }
  | Effect<DrainEffectKind.ReportWaiting, void>
  | Effect<DrainEffectKind.WaitForSuccessors, void>
  | Effect<DrainEffectKind.Close, void>

/**
 * The graceful stop of a node.
 *
 * The wait for requests in progress has no limit here: after each `drainTimeoutMs` the node only logs how many still run. Where a grace
 * period is set, the node ends them shortly before its supervisor would kill the process.
 * Further signals change nothing; only SIGKILL ends the process without waiting. The node keeps probing endpoints until other nodes have taken
 * that over, so that a planned stop does not let the presence evidence of any group expire.
 */
export function * drainNode (drainTimeoutMs: number): Procedure<DrainEffect, void> {
  yield * perform({ kind: DrainEffectKind.AnnounceDraining })
  yield * perform({ kind: DrainEffectKind.RefuseNewWork })
  yield * perform({ kind: DrainEffectKind.RegisterDraining })
  yield * perform({ kind: DrainEffectKind.HandOverLeases })
  yield * waitForRequests(drainTimeoutMs)
  yield * perform({ kind: DrainEffectKind.WaitForSuccessors })
  yield * perform({ kind: DrainEffectKind.Close })
}

function * waitForRequests (timeoutMs: number): Procedure<DrainEffect, void> {
  for (;;) {
    const idle = yield * perform({ kind: DrainEffectKind.WaitForRequests, timeoutMs } as const)
    if (idle) return
    yield * perform({ kind: DrainEffectKind.ReportWaiting })
  }
}

import { perform, type Effect, type Procedure } from 'dotterelspur'

/** What a draining node asks of its parts, in the order in which it asks. */
export enum DrainEffectKind {
  /** Peers stop naming this node to callers. */
  AnnounceDraining = 'announce-draining',
  /** The callers' listener refuses new work and says where to go. */
  RefuseNewWork = 'refuse-new-work',
  /** The platform's object of this node says that it drains. */
  RegisterDraining = 'register-draining',
  /** Leases go to other nodes; orders under way end first. */
  HandOverLeases = 'hand-over-leases',
  /** Resolves once no request runs here; true when it resolved within the time given. */
  WaitForRequests = 'wait-for-requests',
  /** Says in the log how many requests are still waited for. */
  ReportWaiting = 'report-waiting',
  /** Others have had time to take over what this node watches. */
  WaitForSuccessors = 'wait-for-successors',
  /** Listeners and connections are closed. */
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
 * Requests in progress are waited for without end: the operator's time-out only makes the node say that it still
 * waits. Whoever wants to cut them off sends a second signal. The watcher's part goes on until other nodes have
 * taken it over, so that no group loses its evidence by a planned stop.
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

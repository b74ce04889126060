import {
  ASSIGNMENT_PREFIX, CallEventKind, ExplainSubject, LEASE_PREFIX, explainGroup, explainIntent, explainVm, homeOf,
  type AssignmentObject, type ExplainInput, type ExplainPort, type Explanation, type GroupId, type HomeId, type LeaseObject, type MeshApi, type ModelId, type TeamId, type Teardown, type VmId
} from 'dotterelspur'
import type { NodeParts } from './NodeParts.js'

const EXPLAIN_METHOD = 'fleet.explain'
const EXPLAIN_TIMEOUT_MS = 1_500

/** A request for an explanation, sent to the lease holder that keeps the decision records. */
type ExplainRequest =
  | { readonly subject: ExplainSubject.Group, readonly group: GroupId }
  | { readonly subject: ExplainSubject.Vm, readonly vm: VmId }
  | { readonly subject: ExplainSubject.Intent, readonly team: TeamId, readonly model: ModelId }

type Explainers = { readonly [Subject in ExplainSubject]: (input: ExplainInput, request: Extract<ExplainRequest, { subject: Subject }>) => Explanation | undefined }

const EXPLAINERS: Explainers = {
  [ExplainSubject.Group]: (input, { group }) => explainGroup(input, group),
  [ExplainSubject.Vm]: (input, { vm }) => explainVm(input, vm),
  [ExplainSubject.Intent]: (input, { team, model }) => explainIntent(input, team, model)
}

/**
 * Explains the state of a group, a VM or an intent from the records of the node that decides on it: the holder of
 * the failure domain's lease. When no holder responds in time, the explanation comes from this node's own state,
 * which has no decision records, and states that.
 */
export class NodeExplain implements ExplainPort {
  constructor (private readonly parts: NodeParts) {}

  /** Registers the handler for other nodes' requests for explanations; the teardown removes it. */
  registerCallHandler (): Teardown {
    return this.parts.mesh.registerCallHandler(EXPLAIN_METHOD, (request) => this.handleCall(request as ExplainRequest))
  }

  explainGroup (group: GroupId): Promise<Explanation | undefined> {
    return this.explain({ subject: ExplainSubject.Group, group })
  }

  explainVm (vm: VmId): Promise<Explanation | undefined> {
    return this.explain({ subject: ExplainSubject.Vm, vm })
  }

  explainIntent (team: TeamId, model: ModelId): Promise<Explanation | undefined> {
    return this.explain({ subject: ExplainSubject.Intent, team, model })
  }

  private async explain (request: ExplainRequest): Promise<Explanation | undefined> {
    const { mesh } = this.parts
    for (const holder of orderedLeaseHolders(mesh, request)) {
      const explanation = holder === homeOf(mesh.self) ? this.explainLocally(request) : await this.explainRemotely(holder, request)
      if (explanation !== undefined) return explanation
    }
    return this.explainLocally(request)
  }

  private async * handleCall (request: ExplainRequest): AsyncGenerator<Explanation | null> {
    yield this.explainLocally(request) ?? null
  }

  private explainLocally (request: ExplainRequest): Explanation | undefined {
    const explainer = EXPLAINERS[request.subject] as ((input: ExplainInput, request: ExplainRequest) => Explanation | undefined) | undefined
    return explainer?.(this.parts.fleet.explainInput(), request)
  }

  private async explainRemotely (holder: HomeId, request: ExplainRequest): Promise<Explanation | undefined> {
    const controller = new AbortController()
    const cancelTimer = this.parts.clock.registerTimer(EXPLAIN_TIMEOUT_MS, () => { controller.abort() })
    try {
      for await (const event of this.parts.mesh.call(holder, EXPLAIN_METHOD, request, controller.signal)) {
        if (event.kind === CallEventKind.Message) return (event.message as Explanation | null) ?? undefined
      }
      return undefined
    } finally {
      cancelTimer()
      controller.abort()
    }
  }
}

function documentBodies<Body> (mesh: MeshApi, prefix: string): readonly Body[] {
  return mesh.documents(prefix).filter((document) => !document.deleted).map((document) => document.body as Body)
}

/** All lease holders, with the one that decides on the subject of the request first. */
function orderedLeaseHolders (mesh: MeshApi, request: ExplainRequest): readonly HomeId[] {
  const failureDomain = documentBodies<AssignmentObject>(mesh, ASSIGNMENT_PREFIX).find((assignment) => concerns(assignment, request))?.failureDomain
  const leases = documentBodies<LeaseObject>(mesh, LEASE_PREFIX).filter((lease) => !lease.released)
  const ordered = [...leases].sort((left, right) => Number(right.failureDomain === failureDomain) - Number(left.failureDomain === failureDomain))
  return [...new Set(ordered.map((lease) => homeOf({ node: lease.holder, incarnation: lease.holderIncarnation })))]
}

function concerns (assignment: AssignmentObject, request: ExplainRequest): boolean {
  return assignment.groups.some((group) => {
    if (request.subject === ExplainSubject.Group) return group.group === request.group
    if (request.subject === ExplainSubject.Vm) return [...group.members, ...group.standbys].some((member) => member.vm === request.vm)
    return group.team === request.team && group.model === request.model
  })
}

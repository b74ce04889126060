import {
  ASSIGNMENT_PREFIX, CallEventKind, ExplainSubject, LEASE_PREFIX, explainGroup, explainIntent, explainVm, homeOf,
  type AssignmentObject, type ExplainInput, type ExplainPort, type Explanation, type GroupId, type HomeId, type LeaseObject, type MeshApi, type ModelId, type TeamId, type Teardown, type VmId
} from 'dotterelspur'
import type { NodeParts } from './NodeParts.js'

const EXPLAIN_METHOD = 'fleet.explain'
const EXPLAIN_TIMEOUT_MS = 1_500

/** What is asked of the node that holds the records. */
type ExplainQuestion =
  | { readonly subject: ExplainSubject.Group, readonly group: GroupId }
  | { readonly subject: ExplainSubject.Vm, readonly vm: VmId }
  | { readonly subject: ExplainSubject.Intent, readonly team: TeamId, readonly model: ModelId }

type Explainers = { readonly [Subject in ExplainSubject]: (input: ExplainInput, question: Extract<ExplainQuestion, { subject: Subject }>) => Explanation | undefined }

const EXPLAINERS: Explainers = {
  [ExplainSubject.Group]: (input, { group }) => explainGroup(input, group),
  [ExplainSubject.Vm]: (input, { vm }) => explainVm(input, vm),
  [ExplainSubject.Intent]: (input, { team, model }) => explainIntent(input, team, model)
}

/**
 * Answers why a group, a VM or an intent is as it is, from the records of the node that decides on it: the holder
 * of the failure domain's lease. Where no holder answers in time, from what this node knows itself, which lacks
 * the decisions and says so.
 */
export class NodeExplain implements ExplainPort {
  constructor (private readonly parts: NodeParts) {}

  /** Answers other nodes' questions; the teardown ends that. */
  registerAnswers (): Teardown {
    return this.parts.mesh.registerCallHandler(EXPLAIN_METHOD, (request) => this.answer(request as ExplainQuestion))
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

  private async explain (question: ExplainQuestion): Promise<Explanation | undefined> {
    const { mesh } = this.parts
    for (const holder of holdersFor(mesh, question)) {
      const explanation = holder === homeOf(mesh.self) ? this.explainHere(question) : await this.ask(holder, question)
      if (explanation !== undefined) return explanation
    }
    return this.explainHere(question)
  }

  private async * answer (question: ExplainQuestion): AsyncGenerator<Explanation | null> {
    yield this.explainHere(question) ?? null
  }

  private explainHere (question: ExplainQuestion): Explanation | undefined {
    const explainer = EXPLAINERS[question.subject] as ((input: ExplainInput, question: ExplainQuestion) => Explanation | undefined) | undefined
    return explainer?.(this.parts.fleet.explainInput(), question)
  }

  private async ask (holder: HomeId, question: ExplainQuestion): Promise<Explanation | undefined> {
    const controller = new AbortController()
    const cancelTimer = this.parts.clock.registerTimer(EXPLAIN_TIMEOUT_MS, () => { controller.abort() })
    try {
      for await (const event of this.parts.mesh.call(holder, EXPLAIN_METHOD, question, controller.signal)) {
        if (event.kind === CallEventKind.Message) return (event.message as Explanation | null) ?? undefined
      }
      return undefined
    } finally {
      cancelTimer()
      controller.abort()
    }
  }
}

function bodies<Body> (mesh: MeshApi, prefix: string): readonly Body[] {
  return mesh.documents(prefix).filter((document) => !document.deleted).map((document) => document.body as Body)
}

/** Holders of leases, the one that decides on what is asked first. */
function holdersFor (mesh: MeshApi, question: ExplainQuestion): readonly HomeId[] {
  const failureDomain = bodies<AssignmentObject>(mesh, ASSIGNMENT_PREFIX).find((assignment) => concerns(assignment, question))?.failureDomain
  const leases = bodies<LeaseObject>(mesh, LEASE_PREFIX).filter((lease) => !lease.released)
  const ordered = [...leases].sort((left, right) => Number(right.failureDomain === failureDomain) - Number(left.failureDomain === failureDomain))
  return [...new Set(ordered.map((lease) => homeOf({ node: lease.holder, incarnation: lease.holderIncarnation })))]
}

function concerns (assignment: AssignmentObject, question: ExplainQuestion): boolean {
  return assignment.groups.some((group) => {
    if (question.subject === ExplainSubject.Group) return group.group === question.group
    if (question.subject === ExplainSubject.Vm) return [...group.members, ...group.standbys].some((member) => member.vm === question.vm)
    return group.team === question.team && group.model === question.model
  })
}

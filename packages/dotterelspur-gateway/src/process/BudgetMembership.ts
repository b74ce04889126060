import { MembershipWindow, type Clock, type ListedNodes, type NodeId } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** The entries of nodes in the store, as this node knows them. */
export interface NodeView extends ListedNodes {
  /** How old this view is; infinite before the first listing. */
  readonly ageMs: number
}

export interface BudgetMembershipParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly node: NodeId
  readonly windowMs: number
  /** The whole system starts for the first time. */
  readonly firstStart: boolean
  readonly view: () => NodeView
}

/** This node's part of the bounds that all nodes share, by the entries of nodes in the store. */
export class BudgetMembership {
  private readonly membership: MembershipWindow
  private loggedPart: number | null = null

  constructor (private readonly parts: BudgetMembershipParts) {
    this.membership = new MembershipWindow(parts.node, parts.windowMs, parts.firstStart)
  }

  /** Applies a new length of the window in which the bounds hold. */
  configure (windowMs: number): void {
    this.membership.configure(windowMs)
  }

  /** Takes in the current view. Called several times a second. */
  step (): void {
    const { clock, view } = this.parts
    const nowMs = clock.nowMs()
    const listed = view()
    if (listed.ageMs < Infinity) this.membership.noteView(listed, nowMs - listed.ageMs, nowMs)
    this.logPart(listed.nodes.length, listed.ageMs)
  }

  /** Nodes that may use a part, or may have used one within the window. */
  get memberCount (): number {
    return this.membership.memberCount(this.parts.clock.nowMs())
  }

  /** This node's part, from 0 to 1. */
  get part (): number {
    return this.membership.part(this.parts.clock.nowMs())
  }

  private logPart (listed: number, viewAgeMs: number): void {
    const { part } = this
    if (part === this.loggedPart) return
    this.loggedPart = part
    this.parts.log.write(LogKind.BudgetPart, { part: Number(part.toFixed(4)), members: this.memberCount, listed, viewAgeMs: viewAgeMs === Infinity ? null : Math.round(viewAgeMs) })
  }
}

import { AuditKind, DecisionKind, type AuditRecord, type Decision, type NodeId } from 'dotterelspur'

/** The audit kind of each decision kind; null for decisions that don't change an assignment. */
const AUDIT_KIND_BY_DECISION: Readonly<Record<DecisionKind, AuditKind | null>> = {
  [DecisionKind.Form]: AuditKind.GroupFormed,
  [DecisionKind.Serve]: AuditKind.GroupFormed,
  [DecisionKind.Break]: AuditKind.GroupBroken,
  [DecisionKind.Resume]: AuditKind.GroupRepaired,
  [DecisionKind.Wait]: null,
  [DecisionKind.Replace]: AuditKind.GroupRepaired,
  [DecisionKind.Merge]: AuditKind.GroupRepaired,
  [DecisionKind.StepIn]: AuditKind.GroupRepaired,
  [DecisionKind.Rejoin]: AuditKind.GroupRepaired,
  [DecisionKind.Donate]: null,
  [DecisionKind.Swap]: AuditKind.GroupRepaired,
  [DecisionKind.Drain]: AuditKind.DrainRequested,
  [DecisionKind.Dissolve]: AuditKind.GroupDissolved,
  [DecisionKind.Standby]: AuditKind.GroupRepaired,
  [DecisionKind.Rollout]: AuditKind.RolloutStep
}

/** The audit record of a decision; null where the decision changes no assignment. */
export function auditDecision (decision: Decision, node: NodeId): AuditRecord | null {
  const kind = AUDIT_KIND_BY_DECISION[decision.kind]
  if (kind === null) return null
  return {
    kind,
    atWallMs: decision.atWallMs,
    actor: `node:${node}`,
    subject: decision.group ?? decision.fabricDomain,
    before: null,
    after: `${decision.kind} ${decision.vms.join(', ')}`.trim(),
    reason: decision.reason,
    rejected: decision.rejected.map(({ kind: way, score, reason }) => `${way}${score === null ? '' : ` (${score})`}: ${reason}`)
  }
}

import type { SoakEvidence, Violation } from './SoakEvidence.js'

const BEFORE_MS = 12_000
const AFTER_MS = 2_000
const SHOWN_VIOLATIONS = 20

/** Events around a violation: faults, and runs and calls with the ids that it names. */
function around (evidence: SoakEvidence, violation: Violation): string[] {
  const lines = [
    ...evidence.events.map((event) => ({ atMs: event.atMs, text: `fault ${event.targetKind} ${event.target} ${event.kind} ${event.delayMs ?? ''}` })),
    ...evidence.ledger.filter((row) => violation.detail.includes(row.requestId) || (row.idempotencyKey !== null && violation.detail.includes(row.idempotencyKey))).flatMap((row) => [
      { atMs: row.startedAtMs, text: `run of ${row.requestId} begins on ${row.endpoint}, group ${row.group} formation ${row.formation}, ${row.membersUp} of ${row.membersDue} members` },
      { atMs: row.endedAtMs ?? Infinity, text: `run of ${row.requestId} on ${row.endpoint}: ${row.end}` }
    ]),
    { atMs: violation.atMs, text: `VIOLATION ${violation.promise}` }
  ]
  return lines
    .filter((line) => line.atMs >= violation.atMs - BEFORE_MS && line.atMs <= violation.atMs + AFTER_MS)
    .sort((left, right) => left.atMs - right.atMs)
    .map((line) => `  ${String(line.atMs - violation.atMs).padStart(7)} ms  ${line.text}`)
}

/** Describes each violation with the events around it; times are relative to the violation. */
export function describeViolations (evidence: SoakEvidence, violations: readonly Violation[], seed: number): string[] {
  const shown = violations.slice(0, SHOWN_VIOLATIONS).map((violation) => [`seed ${seed}: ${violation.promise}: ${violation.detail}`, ...around(evidence, violation)].join('\n'))
  const left = violations.length - shown.length
  return left > 0 ? [...shown, `and ${left} more`] : shown
}

import { DEFAULT_EVIDENCE_TTL_MS } from 'dotterelspur'
import type { LedgerRow } from 'dotterelspur-testkit'
import { CallOutcome } from '../../request/CallRecord.js'
import type { CallRecord } from '../../request/CallRecord.js'
import { FaultTargetKind } from './FaultSchedule.js'
import type { FaultEvent, SoakEvidence, Violation } from './SoakEvidence.js'

/** Time for which requests may still be dispatched to a group that has lost a member: the evidence TTL and the delay to the engine. */
export const DETECTION_WINDOW_MS = DEFAULT_EVIDENCE_TTL_MS + 500
/** Time for which an endpoint that was told to leave may still receive new work. */
export const LEAVING_WINDOW_MS = 5_000
/** Maximum delay between the call for a fault and its effect on a busy machine. */
const SLACK_MS = 1_000

const DISRUPTIVE: ReadonlySet<string> = new Set(['kill', 'pause', 'restart', 'leave'])
const BREAKS_NODE: ReadonlySet<string> = new Set(['kill', 'pause', 'restart'])

type Check = (evidence: SoakEvidence) => Violation[]

function violation (promise: string, atMs: number, detail: string): Violation {
  return { promise, atMs, detail }
}

function describe (call: CallRecord): string {
  return `call ${call.number} (${call.team} ${call.kind}, id ${call.requestId ?? call.idempotencyKey}, at ${call.entry}): ${call.outcome} ${call.reason}`
}

/** Checks that each caller receives the whole answer to its own request. */
const checkAnswers: Check = ({ calls }) => calls
  .filter((call) => call.outcome === CallOutcome.Wrong)
  .map((call) => violation('whole answer to its own request', call.endedAtMs, describe(call)))

/** Checks that a request did not run if its caller was told so. */
const checkNotRun: Check = ({ calls, ledger }) => {
  const ran = new Map(ledger.flatMap((row) => [[row.requestId, row], [row.idempotencyKey ?? row.requestId, row]] as const))
  return calls
    .filter((call) => call.outcome === CallOutcome.NotRun || call.outcome === CallOutcome.Unreachable)
    .flatMap((call) => {
      const row = ran.get(call.requestId ?? '') ?? ran.get(call.idempotencyKey ?? '')
      return row === undefined ? [] : [violation('not-run is true', row.startedAtMs, `${describe(call)}, but it ran on ${row.endpoint}`)]
    })
}

/** Checks that a non-idempotent request runs at most once. */
const checkOnce: Check = ({ calls, ledger }) => calls
  .filter((call) => call.once)
  .flatMap((call) => {
    const rows = ledger.filter((row) => row.idempotencyKey === call.idempotencyKey || row.requestId === call.idempotencyKey || (call.requestId !== null && row.requestId === call.requestId))
    if (rows.length <= 1) return []
    return [violation('at most once', rows[1]!.startedAtMs, `${describe(call)} ran ${rows.length} times: ${rows.map((row) => `${row.endpoint} at ${row.startedAtMs}`).join(', ')}`)]
  })

/** Checks that an answered call has run. */
const checkRan: Check = ({ calls, ledger }) => {
  const ran = new Set(ledger.flatMap((row) => [row.requestId, row.idempotencyKey]))
  return calls
    .filter((call) => call.outcome === CallOutcome.Answered && (call.requestId !== null || call.idempotencyKey !== null))
    .filter((call) => !ran.has(call.requestId) && !ran.has(call.idempotencyKey))
    .map((call) => violation('an answer comes from a run', call.endedAtMs, describe(call)))
}

/** Checks that no run begins in an incomplete group after the detection window. */
const checkComplete: Check = (evidence) => evidence.ledger
  .filter((row) => row.group !== null && row.membersUp < row.membersDue)
  .filter((row) => !disruptedBefore(evidence, row))
  .map((row) => violation('no group serves incomplete', row.startedAtMs, `${row.requestId} on ${row.endpoint}, group ${row.group} at formation ${row.formation}: ${row.membersUp} of ${row.membersDue} members`))

/** Whether a fault hit the run's fabric domain within the detection window before it began. */
function disruptedBefore (evidence: SoakEvidence, row: LedgerRow): boolean {
  const fabricDomain = evidence.vms.find((vm) => vm.vm === row.endpoint)?.fabricDomain
  return disruptionsOf(evidence, fabricDomain).some((atMs) => atMs <= row.startedAtMs + SLACK_MS && atMs >= row.startedAtMs - DETECTION_WINDOW_MS)
}

function disruptionsOf (evidence: SoakEvidence, fabricDomain: string | undefined): number[] {
  const domainOf = new Map(evidence.vms.map((vm) => [vm.vm, vm.fabricDomain]))
  return evidence.events
    .filter((event) => DISRUPTIVE.has(event.kind))
    .filter((event) => (event.targetKind === FaultTargetKind.Vm && domainOf.get(event.target) === fabricDomain) || (event.targetKind === FaultTargetKind.FabricDomain && event.target === fabricDomain))
    .map((event) => event.kind === 'leave' ? event.atMs + (event.delayMs ?? 0) : event.atMs)
}

/** Checks that a leaving endpoint receives no new work after a few seconds. */
const checkLeaving: Check = ({ ledger, events }) => events
  .filter((event) => event.targetKind === FaultTargetKind.Vm && event.kind === 'leave')
  .flatMap((event) => {
    const next = events.find((later) => later.atMs > event.atMs && later.targetKind === FaultTargetKind.Vm && later.target === event.target)
    const untilMs = next?.atMs ?? Infinity
    return ledger
      .filter((row) => row.endpoint === event.target && row.startedAtMs > event.atMs + LEAVING_WINDOW_MS && row.startedAtMs < untilMs)
      .map((row) => violation('a leaving endpoint gets no new work', row.startedAtMs, `${row.requestId} on ${row.endpoint}, ${row.startedAtMs - event.atMs} ms after it was told to leave`))
  })

/** Checks that no VM belongs to two groups in the same report of a node. */
const checkOneGroup: Check = ({ groupSamples }) => {
  const seen = new Map<string, string>()
  const found: Violation[] = []
  for (const sample of groupSamples) {
    for (const vm of sample.members) {
      const key = `${sample.node} ${sample.atMs} ${vm}`
      const other = seen.get(key)
      if (other !== undefined && other !== sample.group) found.push(violation('no VM in two groups', sample.atMs, `${vm} is in ${other} and in ${sample.group}, says node ${sample.node}`))
      seen.set(key, sample.group)
    }
  }
  return found
}

/** Checks that settings in force are never replaced by an older version. */
const checkVersions: Check = ({ versionSamples }) => {
  const highest = new Map<string, number>()
  const found: Violation[] = []
  for (const sample of versionSamples) {
    const key = `${sample.node} ${sample.team}`
    const before = highest.get(key) ?? 0
    if (sample.version < before) found.push(violation('versions never fall', sample.atMs, `node ${sample.node} went from version ${before} of ${sample.team} to ${sample.version}`))
    highest.set(key, Math.max(before, sample.version))
  }
  return found
}

/** Checks that no request in progress is cut off by a planned stop, or by a node without a fault. */
const checkCutOff: Check = (evidence) => evidence.calls
  .filter((call) => call.outcome === CallOutcome.CutOff)
  .filter((call) => !nodeBrokenDuring(evidence, call))
  .map((call) => violation('no planned stop cuts a request off', call.endedAtMs, describe(call)))

function nodeBrokenDuring ({ events, entries }: SoakEvidence, call: CallRecord): boolean {
  const node = String(entries.indexOf(call.entry))
  return events.some((event: FaultEvent) => event.targetKind === FaultTargetKind.Node && event.target === node && BREAKS_NODE.has(event.kind) &&
    event.atMs >= call.sentAtMs - SLACK_MS && event.atMs <= call.endedAtMs + SLACK_MS)
}

/** The check of each promise. */
const CHECKS: readonly Check[] = [checkAnswers, checkNotRun, checkOnce, checkRan, checkComplete, checkLeaving, checkOneGroup, checkVersions, checkCutOff]

export function findViolations (evidence: SoakEvidence): Violation[] {
  return CHECKS.flatMap((check) => check(evidence)).sort((left, right) => left.atMs - right.atMs)
}

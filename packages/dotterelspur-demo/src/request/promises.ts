import { ASSIGNMENT_PREFIX } from 'dotterelspur'
import type { AssignmentObject } from 'dotterelspur'
import { RunEnd } from 'dotterelspur-testkit'
import type { ExpectedAnswers, LedgerRow } from 'dotterelspur-testkit'
import type { ChatAnswer } from './Caller.js'

/** Result of checking a promise against the records of the stand-ins. */
export interface PromiseCheck {
  readonly promise: string
  readonly held: boolean
  readonly evidence: string
}

export interface SentChat {
  readonly marker: string
  readonly answer: ChatAnswer
}

/** The loss of a group member; its time is on the wall clock of the stand-ins. */
export interface MemberLoss {
  readonly group: string
  readonly formation: number
  readonly atWallMs: number
}

function check (promise: string, held: boolean, evidence: string): PromiseCheck {
  return { promise, held, evidence }
}

/** Checks that each caller received the whole answer that the engines gave to its own request. */
export function checkAnswers (chats: readonly SentChat[], answers: ExpectedAnswers): PromiseCheck {
  const wrong = chats.filter(({ marker, answer }) => !answer.whole || answer.text !== answers.answer(answer.requestId) || !answers.prompt(answer.requestId)!.includes(marker))
  const first = wrong[0]
  const evidence = first === undefined
    ? `${chats.length} of ${chats.length} answers compared token by token`
    : `${wrong.length} of ${chats.length} wrong; ${first.answer.requestId}: status ${first.answer.status}, ${first.answer.error ?? 'the text differs'}`
  return check('every caller has the whole answer to its own request', wrong.length === 0, evidence)
}

/** Checks that a non-idempotent call ran once, at one endpoint. */
export function checkOnce (rows: readonly LedgerRow[], idempotencyKey: string, sent: number): PromiseCheck {
  const runs = rows.filter((row) => row.idempotencyKey === idempotencyKey)
  const evidence = `sent ${sent} times with one key, run ${runs.length} times${runs[0] === undefined ? '' : ` (at ${runs[0].endpoint})`}`
  return check('a non-idempotent call runs at most once', runs.length === 1 && runs[0]!.end === RunEnd.Whole, evidence)
}

/**
 * Checks that no run began in an incomplete group, except within the window after a loss in which it can't be known yet; such
 * a run must not have ended whole.
 */
export function checkComplete (rows: readonly LedgerRow[], losses: readonly MemberLoss[], windowMs: number): PromiseCheck {
  const incomplete = rows.filter((row) => row.group !== null && row.membersUp < row.membersDue)
  const excused = (row: LedgerRow): boolean => losses.some(({ group, formation, atWallMs }) =>
    row.group === group && row.formation === formation && row.startedAtMs <= atWallMs + windowMs && row.end !== RunEnd.Whole)
  const wrong = incomplete.filter((row) => !excused(row))
  const evidence = `${rows.length} runs, ${incomplete.length} sent to a group that had just lost a VM (none answered from it), ${wrong.length} beyond the window of ${windowMs} ms`
  return check('no group serves unless all of its VMs are present', wrong.length === 0, evidence)
}

/** Checks the assignments in the platform's store: no VM is a member of two groups, or a member of one and a standby of another. */
export function checkMembership (assignments: readonly AssignmentObject[]): PromiseCheck {
  const seen = new Map<string, string>()
  const doubled: string[] = []
  for (const { groups } of assignments) {
    for (const { group, members, standbys } of groups) {
      for (const { vm } of members) {
        if (seen.has(vm)) doubled.push(`${vm} in ${seen.get(vm)} and ${group}`)
        seen.set(vm, group)
      }
      for (const { vm } of standbys) {
        if (seen.has(vm) && seen.get(vm) !== group) doubled.push(`${vm}, a standby of ${group}, is in ${seen.get(vm)}`)
      }
    }
  }
  return check('no VM belongs to two groups', doubled.length === 0, doubled[0] ?? `${seen.size} members of ${assignments.length} fabric domains under ${ASSIGNMENT_PREFIX}`)
}

/** Checks that the group that lost a VM serves again, complete. */
export function checkRepair (repaired: boolean, repairMs: number, detail: string): PromiseCheck {
  return check('the fleet repairs itself', repaired, repaired ? `complete again after ${(repairMs / 1_000).toFixed(1)} s: ${detail}` : `not within ${(repairMs / 1_000).toFixed(1)} s: ${detail}`)
}

/** Output of the operators' commands. */
export interface Explanations {
  /** Output of `explain group` while the group did not serve. */
  readonly ofGroup: string
  /** Output of `explain vm` for the VM that joined. */
  readonly ofJoined: string
  /** The audit records of the group. */
  readonly records: string
}

/** The replacement of a lost VM in a group. */
export interface Replacement {
  readonly group: string
  readonly lost: string
  readonly joined: string
}

/**
 * Checks that the system states why the group did not serve, and to which group the joined VM belongs. A repair may be over before
 * `explain` is run; the audit trail then states the reason.
 */
export function checkExplained ({ group, lost, joined }: Replacement, { ofGroup, ofJoined, records }: Explanations): PromiseCheck {
  const isLossExplained = ofGroup.includes(lost) || records.includes(lost)
  const isMoveExplained = ofJoined.includes(group)
  const missing = [isLossExplained ? [] : [`why ${group} was out`], isMoveExplained ? [] : [`why ${joined} moved`]].flat()
  const source = ofGroup.includes(lost) ? 'explain, while it was out,' : 'the audit trail'
  return check('the fleet explains what it did', missing.length === 0, missing.length === 0 ? `${source} names ${lost}; explain vm ${joined} names ${group}` : `nothing explains ${missing.join(' or ')}`)
}

import { expect } from 'chai'
import { createRandom } from 'dotterelspur'
import { RunEnd } from 'dotterelspur-testkit'
import type { LedgerRow } from 'dotterelspur-testkit'
import { CallKind } from '../../process/load/WorkloadMix.js'
import { findViolations } from '../../process/soak/checks.js'
import { FaultTargetKind, planFaults } from '../../process/soak/FaultSchedule.js'
import type { FaultEvent, GroupSample, SoakEvidence } from '../../process/soak/SoakEvidence.js'
import { CallOutcome } from '../../request/CallRecord.js'
import type { CallRecord } from '../../request/CallRecord.js'

function createCall (overrides: Partial<CallRecord> = {}): CallRecord {
  return {
    number: 1,
    team: 'tradeline',
    kind: CallKind.ChatStream,
    once: false,
    entry: 'http://n0',
    idempotencyKey: null,
    requestId: 'r1',
    intendedAtMs: 10_000,
    sentAtMs: 10_000,
    firstTokenAtMs: null,
    endedAtMs: 11_000,
    tokens: 0,
    outcome: CallOutcome.Answered,
    reason: '',
    retryAfterMs: null,
    ...overrides
  }
}

function createRow (overrides: Partial<LedgerRow> = {}): LedgerRow {
  return { requestId: 'r1', idempotencyKey: null, endpoint: 'vm-a', group: 'g', formation: 1, membersUp: 2, membersDue: 2, startedAtMs: 10_100, endedAtMs: 10_900, end: RunEnd.Whole, ...overrides }
}

function createEvidence (overrides: Partial<SoakEvidence> = {}): SoakEvidence {
  return {
    calls: [createCall()],
    ledger: [createRow()],
    events: [],
    vms: [{ vm: 'vm-a', fabricDomain: 'f1' }, { vm: 'vm-b', fabricDomain: 'f1' }, { vm: 'vm-c', fabricDomain: 'f2' }],
    groupSamples: [],
    versionSamples: [],
    entries: ['http://n0', 'http://n1'],
    ...overrides
  }
}

function fault (targetKind: FaultTargetKind, target: string, kind: string, atMs: number, delayMs?: number): FaultEvent {
  return { targetKind, target, kind, atMs, delayMs }
}

function groups (...members: ReadonlyArray<readonly string[]>): GroupSample[] {
  return members.map((names, index) => ({ atMs: 1, node: 0, fabricDomain: 'f1', group: `g${index}`, formation: 1, members: names }))
}

const INCOMPLETE = createRow({ membersUp: 1 })

interface Case {
  readonly name: string
  readonly evidence: Partial<SoakEvidence>
  /** The promise that is broken; undefined for none. */
  readonly promise?: string
}

const CASES: readonly Case[] = [
  { name: 'an answered call that ran', evidence: {} },
  { name: 'a wrong answer', evidence: { calls: [createCall({ outcome: CallOutcome.Wrong })] }, promise: 'whole answer to its own request' },
  { name: 'not-run that ran', evidence: { calls: [createCall({ outcome: CallOutcome.NotRun })] }, promise: 'not-run is true' },
  { name: 'not-run that ran under its key', evidence: { calls: [createCall({ outcome: CallOutcome.NotRun, requestId: 'x', idempotencyKey: 'k' })], ledger: [createRow({ idempotencyKey: 'k' })] }, promise: 'not-run is true' },
  { name: 'not-run that did not run', evidence: { calls: [createCall({ outcome: CallOutcome.NotRun })], ledger: [] } },
  { name: 'a once-only call that ran twice', evidence: { calls: [createCall({ once: true, idempotencyKey: 'k' })], ledger: [createRow({ idempotencyKey: 'k' }), createRow({ idempotencyKey: 'k', endpoint: 'vm-c' })] }, promise: 'at most once' },
  { name: 'a repeatable call that ran twice', evidence: { ledger: [createRow(), createRow({ endpoint: 'vm-c' })] } },
  { name: 'an answer without a run', evidence: { ledger: [] }, promise: 'an answer comes from a run' },
  { name: 'a run in a group that lost a member just before', evidence: { ledger: [INCOMPLETE], events: [fault(FaultTargetKind.Vm, 'vm-b', 'kill', 9_000)] } },
  { name: 'a run in a group that lost a member long before', evidence: { ledger: [INCOMPLETE], events: [fault(FaultTargetKind.Vm, 'vm-b', 'kill', 5_000)] }, promise: 'no group serves incomplete' },
  { name: 'a run in an incomplete group while another fabric domain has faults', evidence: { ledger: [INCOMPLETE], events: [fault(FaultTargetKind.Vm, 'vm-c', 'kill', 9_000)] }, promise: 'no group serves incomplete' },
  { name: 'a member that left just before', evidence: { ledger: [INCOMPLETE], events: [fault(FaultTargetKind.Vm, 'vm-b', 'leave', 4_000, 6_000)] } },
  { name: 'work for a leaving endpoint after seconds', evidence: { events: [fault(FaultTargetKind.Vm, 'vm-a', 'leave', 5_000, 30_000)] }, promise: 'a leaving endpoint gets no new work' },
  { name: 'work for an endpoint that was told to leave just now', evidence: { events: [fault(FaultTargetKind.Vm, 'vm-a', 'leave', 9_000, 30_000)] } },
  { name: 'work for an endpoint that left and came back', evidence: { events: [fault(FaultTargetKind.Vm, 'vm-a', 'leave', 1_000, 30_000), fault(FaultTargetKind.Vm, 'vm-a', 'restart', 4_000)] } },
  { name: 'a VM in two groups', evidence: { groupSamples: groups(['vm-a', 'vm-b'], ['vm-b']) }, promise: 'no VM in two groups' },
  { name: 'groups apart', evidence: { groupSamples: groups(['vm-a'], ['vm-b']) } },
  { name: 'a version that falls', evidence: { versionSamples: [{ atMs: 1, node: 0, team: 't', version: 9 }, { atMs: 2, node: 0, team: 't', version: 7 }] }, promise: 'versions never fall' },
  { name: 'a node that is behind another', evidence: { versionSamples: [{ atMs: 1, node: 0, team: 't', version: 9 }, { atMs: 2, node: 1, team: 't', version: 7 }] } },
  { name: 'a stream cut off by a drain', evidence: { calls: [createCall({ outcome: CallOutcome.CutOff })], events: [fault(FaultTargetKind.Node, '0', 'drain', 10_500)] }, promise: 'no planned stop cuts a request off' },
  { name: 'a stream cut off by a kill', evidence: { calls: [createCall({ outcome: CallOutcome.CutOff })], events: [fault(FaultTargetKind.Node, '0', 'kill', 10_500)] } },
  { name: 'a stream cut off while another node is killed', evidence: { calls: [createCall({ outcome: CallOutcome.CutOff })], events: [fault(FaultTargetKind.Node, '1', 'kill', 10_500)] }, promise: 'no planned stop cuts a request off' }
]

describe('findViolations', () => {
  for (const { name, evidence, promise } of CASES) {
    it(`${promise === undefined ? 'lets pass' : 'finds'} ${name}`, () => {
      const promises = findViolations(createEvidence(evidence)).map((violation) => violation.promise)
      expect(promises).to.deep.equal(promise === undefined ? [] : [promise])
    })
  }
})

describe('planFaults', () => {
  it('gives the same faults for the same seed, several at once, one at a time for each target, all taken back', () => {
    const settings = { seed: 3, firstAtMs: 3_000, lastClearAtMs: 100_000, meanIntervalMs: 1_500, vms: ['a', 'b', 'c'], fabricDomains: ['f'], nodes: 4 }
    const faults = planFaults(settings, createRandom(3))
    expect(planFaults(settings, createRandom(3))).to.deep.equal(faults)
    expect(faults.some((one) => faults.some((other) => other !== one && other.atMs > one.atMs && other.atMs < one.clearAtMs))).to.equal(true)
    for (const one of faults) {
      const twin = faults.find((other) => other !== one && other.targetKind === one.targetKind && other.target === one.target && other.atMs >= one.atMs && other.atMs < one.clearAtMs)
      expect(twin).to.equal(undefined)
      expect(one.clearAtMs).to.be.at.most(100_000)
    }
  })
})

import { expect } from 'chai'
import { GroupState, PriorityClass } from 'dotterelspur'
import type { AssignedGroup, AssignmentObject, GenerateRequest } from 'dotterelspur'
import { ExpectedAnswers, RunEnd, expectedAnswer } from 'dotterelspur-testkit'
import type { LedgerRow } from 'dotterelspur-testkit'
import type { ChatAnswer } from '../../request/Caller.js'
import { checkAnswers, checkComplete, checkExplained, checkMembership, checkOnce } from '../../request/promises.js'

const WINDOW_MS = 2_500
const KEY = 'loan-1'

const REQUEST: GenerateRequest = {
  requestId: 'r1', attempt: 1, group: 'g1', formation: 1, model: 'm', version: '1', adapter: null, prompt: 'user: mine: say it', maxTokens: 30, priority: PriorityClass.Standard, seed: 1, resumeOffset: 0, resumeText: '', idempotencyKey: null
}
const WHOLE = expectedAnswer(REQUEST, REQUEST.maxTokens)

function row (change: Partial<LedgerRow> = {}): LedgerRow {
  return { requestId: 'r1', idempotencyKey: null, endpoint: 'vm-1', group: 'g1', formation: 1, membersUp: 2, membersDue: 2, startedAtMs: 1_000, endedAtMs: 1_500, end: RunEnd.Whole, ...change }
}

function answer (change: Partial<ChatAnswer> = {}): ChatAnswer {
  return { requestId: 'r1', text: WHOLE, whole: true, status: 200, error: null, ...change }
}

function expectedAnswers (): ExpectedAnswers {
  const answers = new ExpectedAnswers()
  answers.note(REQUEST)
  return answers
}

describe('checkAnswers', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly answer: ChatAnswer, readonly marker?: string, readonly held: boolean }> = [
    { name: 'the whole answer', answer: answer(), held: true },
    { name: 'a part that claims to be whole', answer: answer({ text: WHOLE.slice(0, -5) }), held: false },
    { name: 'repeated tokens', answer: answer({ text: WHOLE + WHOLE.slice(-5) }), held: false },
    { name: 'a stream without its end', answer: answer({ whole: false }), held: false },
    { name: 'an id that no engine saw', answer: answer({ requestId: 'r2' }), held: false },
    { name: 'the answer to another caller\'s request', answer: answer(), marker: 'other', held: false }
  ]
  for (const { name, answer: given, marker = 'mine', held } of cases) {
    it(`${held ? 'accepts' : 'detects'} ${name}`, () => {
      expect(checkAnswers([{ marker, answer: given }], expectedAnswers()).held).to.equal(held)
    })
  }
})

describe('checkOnce', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly rows: readonly LedgerRow[], readonly held: boolean }> = [
    { name: 'one run', rows: [row({ idempotencyKey: KEY }), row()], held: true },
    { name: 'two runs', rows: [row({ idempotencyKey: KEY }), row({ idempotencyKey: KEY })], held: false },
    { name: 'no run', rows: [row()], held: false },
    { name: 'a run that died', rows: [row({ idempotencyKey: KEY, end: RunEnd.Died })], held: false }
  ]
  for (const { name, rows, held } of cases) {
    it(`${held ? 'accepts' : 'detects'} ${name}`, () => { expect(checkOnce(rows, KEY, 2).held).to.equal(held) })
  }
})

describe('checkComplete', () => {
  const loss = { group: 'g1', formation: 1, atWallMs: 1_000 }
  const died = { membersUp: 1, end: RunEnd.Died }
  const cases: ReadonlyArray<{ readonly name: string, readonly row: LedgerRow, readonly held: boolean }> = [
    { name: 'a run in a complete group', row: row(), held: true },
    { name: 'a run that died within the window after a loss', row: row({ ...died, startedAtMs: 1_000 + WINDOW_MS }), held: true },
    { name: 'a run after the window', row: row({ ...died, startedAtMs: 1_001 + WINDOW_MS }), held: false },
    { name: 'a run in a group that lost nothing', row: row({ ...died, group: 'g2' }), held: false },
    { name: 'a run at another formation', row: row({ ...died, formation: 2 }), held: false },
    { name: 'an answer from an incomplete group', row: row({ membersUp: 1 }), held: false }
  ]
  for (const { name, row: given, held } of cases) {
    it(`${held ? 'accepts' : 'detects'} ${name}`, () => { expect(checkComplete([given], [loss], WINDOW_MS).held).to.equal(held) })
  }
})

describe('checkMembership', () => {
  const member = (vm: string) => ({ vm, incarnation: 1, address: '' })
  const group = (id: string, members: readonly string[], standbys: readonly string[] = []): AssignedGroup => ({
    group: id, formation: 1, state: GroupState.Serving, team: 't', model: 'm', version: '1', adapters: [], members: members.map(member), standbys: standbys.map(member), cause: '', sinceWallMs: 0
  })
  const assignment = (...groups: readonly AssignedGroup[]): AssignmentObject => ({ writeToken: '', fabricDomain: 'f', failureDomain: 'd', region: 'r', fencing: 1, groups })
  const cases = [
    { name: 'groups apart', groups: [group('g1', ['a', 'b'], ['c']), group('g2', ['d', 'e'])], held: true },
    { name: 'a VM in two groups', groups: [group('g1', ['a', 'b']), group('g2', ['b', 'c'])], held: false },
    { name: 'a member that stands by for another group', groups: [group('g1', ['a', 'b']), group('g2', ['c', 'd'], ['a'])], held: false },
    { name: 'a VM twice in one group', groups: [group('g1', ['a', 'a'])], held: false }
  ]
  for (const { name, groups, held } of cases) {
    it(`${held ? 'accepts' : 'detects'} ${name}`, () => { expect(checkMembership([assignment(...groups)]).held).to.equal(held) })
  }
})

describe('checkExplained', () => {
  const exchange = { group: 'g1', lost: 'vm-2', joined: 'vm-3' }
  const cases = [
    { name: 'causes that name the VMs and the group', ofGroup: 'group g1: vm-2 is absent', ofJoined: 'VM vm-3: member of g1', records: '', held: true },
    { name: 'a loss that only the audit trail names', ofGroup: 'group g1 serves', ofJoined: 'VM vm-3: member of g1', records: 'group-broken g1: vm-2 is absent', held: true },
    { name: 'silence', ofGroup: '', ofJoined: '', records: '', held: false },
    { name: 'a group of which no cause is stated', ofGroup: 'group g1 does not serve', ofJoined: 'VM vm-3: member of g1', records: 'group-broken g1', held: false },
    { name: 'a VM whose group is not stated', ofGroup: 'group g1: vm-2 is absent', ofJoined: 'VM vm-3 is not known', records: '', held: false }
  ]
  for (const { name, ofGroup, ofJoined, records, held } of cases) {
    it(`${held ? 'accepts' : 'detects'} ${name}`, () => {
      expect(checkExplained(exchange, { ofGroup, ofJoined, records }).held).to.equal(held)
    })
  }
})

import { expect } from 'chai'
import { StoreErrorKind } from 'dotterelspur'
import type { PlatformReply, WriteCondition } from '../../request/PlatformCall.js'
import { writeProcedure } from '../../request/writeProcedure.js'
import { createResponse, createContext, NO_RESPONSE, NOT_SENT, runWithReplies } from './fixtures.js'

interface Case {
  readonly name: string
  readonly condition: WriteCondition
  readonly token: string | null
  readonly replies: readonly PlatformReply[]
  /** `ok <version>` or the error's kind. */
  readonly outcome: string
  readonly sent: string
}

const ABSENT: WriteCondition = { kind: 'absent' }
const AT_4: WriteCondition = { kind: 'version', version: 4 }

function stored (version: number, token: string): PlatformReply {
  return createResponse(200, { key: 'k', version, deleted: false, body: { writeToken: token } })
}

const absentAt = (version: number): PlatformReply => createResponse(404, { version })
const conflictAt = (currentVersion: number | null): PlatformReply => createResponse(412, { currentVersion })

const CASES: readonly Case[] = [
  { name: 'written by the first attempt', condition: ABSENT, token: 'mine', replies: [createResponse(201, { version: 7 })], outcome: 'ok 7', sent: 'PUT' },
  { name: 'a conflict without an ambiguous attempt before it', condition: AT_4, token: 'mine', replies: [conflictAt(9)], outcome: 'conflict', sent: 'PUT' },
  { name: 'the response is lost after the write took effect', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(8, 'mine')], outcome: 'ok 8', sent: 'PUT GET' },
  { name: 'the request is lost and sent again', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(4, 'old'), createResponse(200, { version: 8 })], outcome: 'ok 8', sent: 'PUT GET PUT' },
  // Failure: a conflict is reported for a write that took effect, and its writer acts as if it had not. The write is
  // delayed and reading back finds the old version; then the write takes effect, and the second copy gets a conflict
  // with it. A conflict after a lost response may be caused by the write itself.
  { name: 'the delayed write takes effect after reading back', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(4, 'old'), conflictAt(8), stored(8, 'mine')], outcome: 'ok 8', sent: 'PUT GET PUT GET' },
  { name: 'the delayed create takes effect after reading back', condition: ABSENT, token: 'mine', replies: [NO_RESPONSE, absentAt(3), conflictAt(8), stored(8, 'mine')], outcome: 'ok 8', sent: 'PUT GET PUT GET' },
  { name: 'another write follows a lost response', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(9, 'other')], outcome: 'unknown', sent: 'PUT GET' },
  { name: 'reading back returns a version older than the conflict', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(4, 'old'), conflictAt(8), stored(4, 'old'), conflictAt(8), stored(8, 'mine')], outcome: 'ok 8', sent: 'PUT GET PUT GET PUT GET' },
  { name: 'reading back returns a version older than the one that the caller had read', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, stored(2, 'older'), NO_RESPONSE, stored(8, 'mine')], outcome: 'ok 8', sent: 'PUT GET PUT GET' },
  { name: 'no response to any request', condition: AT_4, token: 'mine', replies: [NO_RESPONSE], outcome: 'unknown', sent: 'PUT GET PUT GET PUT GET PUT GET' },
  { name: 'a server error is as ambiguous as no response', condition: ABSENT, token: 'mine', replies: [createResponse(503, null), stored(5, 'mine')], outcome: 'ok 5', sent: 'PUT GET' },
  { name: 'no connection for any attempt', condition: ABSENT, token: 'mine', replies: [NOT_SENT], outcome: 'unavailable', sent: 'PUT PUT PUT PUT' },
  { name: 'no connection after a lost response leaves the outcome ambiguous', condition: ABSENT, token: 'mine', replies: [NO_RESPONSE, NOT_SENT], outcome: 'unknown', sent: 'PUT GET PUT GET PUT GET PUT GET' },
  { name: 'too many calls', condition: ABSENT, token: 'mine', replies: [createResponse(429, { retryAfterMs: 700 })], outcome: 'rate-limited', sent: 'PUT' },
  { name: 'rejected as malformed', condition: ABSENT, token: 'mine', replies: [createResponse(400, { reason: 'no' })], outcome: 'invalid', sent: 'PUT' },
  { name: 'the outcome of a success without a version is determined by reading back', condition: ABSENT, token: 'mine', replies: [createResponse(201, null), stored(6, 'mine')], outcome: 'ok 6', sent: 'PUT GET' },
  { name: 'a deletion whose response is lost', condition: AT_4, token: null, replies: [NO_RESPONSE, absentAt(9)], outcome: 'ok 9', sent: 'DELETE GET' },
  { name: 'a lost deletion is sent again', condition: AT_4, token: null, replies: [NO_RESPONSE, stored(4, 'old'), createResponse(200, { version: 10 })], outcome: 'ok 10', sent: 'DELETE GET DELETE' },
  { name: 'an update of an object that was deleted meanwhile', condition: AT_4, token: 'mine', replies: [NO_RESPONSE, absentAt(9)], outcome: 'unknown', sent: 'PUT GET' }
]

describe('writeProcedure', () => {
  for (const { name, condition, token, replies, outcome, sent } of CASES) {
    it(name, () => {
      const context = createContext()
      const intent = { key: 'k', condition, token, body: token === null ? null : { writeToken: token } }
      const run = runWithReplies(writeProcedure(intent, context), replies)
      const shown = run.value.ok ? `ok ${run.value.value.version}` : run.value.error.kind
      expect(shown).to.equal(outcome)
      expect(run.sent.join(' ')).to.equal(sent)
    })
  }

  it('waits for the platform\'s retry time before it retries an ambiguous write', () => {
    const replies = [NO_RESPONSE, createResponse(429, { retryAfterMs: 10 }), createResponse(429, { retryAfterMs: 700 }), createResponse(429, { retryAfterMs: 10 }), createResponse(201, { version: 3 })]
    const intent = { key: 'k', condition: ABSENT, token: 'mine', body: { writeToken: 'mine' } }
    const run = runWithReplies(writeProcedure(intent, createContext()), replies)
    expect(run.value).to.deep.include({ ok: true })
    expect(Math.max(...run.waitsMs)).to.equal(700)
  })

  it('returns the conflicting version', () => {
    const intent = { key: 'k', condition: AT_4, token: 'mine', body: { writeToken: 'mine' } }
    expect(runWithReplies(writeProcedure(intent, createContext()), [conflictAt(9)]).value).to.deep.equal({ ok: false, error: { kind: StoreErrorKind.Conflict, key: 'k', currentVersion: 9 } })
  })
})

import { expect } from 'chai'
import type { PlatformReply } from '../../request/PlatformCall.js'
import { ReplyKind } from '../../request/PlatformCall.js'
import { getProcedure, listProcedure } from '../../request/readProcedure.js'
import { createResponse, createContext, NO_RESPONSE, NOT_SENT, runWithReplies } from './fixtures.js'

interface Case {
  readonly name: string
  /** Version of the key that this process has seen already. */
  readonly seenVersion?: number
  readonly replies: readonly PlatformReply[]
  readonly outcome: string
  readonly sent: number
}

function object (version: number): PlatformReply {
  return createResponse(200, { key: 'k', version, deleted: false, body: { writeToken: `t${version}` } })
}

const GET_CASES: readonly Case[] = [
  { name: 'an answer', replies: [object(3)], outcome: 'ok 3', sent: 1 },
  // Symptom: a node sees a lease go back to its former holder. Sequence: it reads version 9, then an answer from
  // the past brings version 3. Cause: the store may answer from the past, and versions must never fall.
  { name: 'an answer from before what was seen', seenVersion: 9, replies: [object(3)], outcome: 'ok 9', sent: 1 },
  { name: 'absence from before what was seen', seenVersion: 9, replies: [createResponse(404, { version: 3 })], outcome: 'ok 9', sent: 1 },
  { name: 'absence after what was seen', seenVersion: 9, replies: [createResponse(404, { version: 12 })], outcome: 'not-found', sent: 1 },
  { name: 'no answer, then one', replies: [NO_RESPONSE, NOT_SENT, object(3)], outcome: 'ok 3', sent: 3 },
  { name: 'no answer at all', replies: [NO_RESPONSE], outcome: 'unavailable', sent: 4 },
  { name: 'server errors', replies: [createResponse(500, null)], outcome: 'unavailable', sent: 4 },
  { name: 'too many calls', replies: [createResponse(429, { retryAfterMs: 5 })], outcome: 'rate-limited', sent: 1 },
  { name: 'withheld by the node itself', replies: [{ kind: ReplyKind.Withheld, retryAfterMs: 5 }], outcome: 'rate-limited', sent: 1 },
  { name: 'another shape', replies: [createResponse(200, { key: 'k' })], outcome: 'invalid', sent: 1 },
  { name: 'another key', replies: [createResponse(200, { key: 'j', version: 3, deleted: false, body: null })], outcome: 'invalid', sent: 1 },
  { name: 'no JSON', replies: [{ kind: ReplyKind.Malformed, reason: 'html' }], outcome: 'invalid', sent: 1 }
]

describe('getProcedure', () => {
  for (const { name, seenVersion, replies, outcome, sent } of GET_CASES) {
    it(name, () => {
      const context = createContext()
      if (seenVersion !== undefined) context.seen.record({ key: 'k', version: seenVersion, body: {}, deleted: false })
      const run = runWithReplies(getProcedure('k', context), replies)
      expect(run.value.ok ? `ok ${run.value.value.version}` : run.value.error.kind).to.equal(outcome)
      expect(run.sent.length).to.equal(sent)
    })
  }
})

describe('listProcedure', () => {
  it('asks again for a listing from before what was seen when it asked, and then gives up', () => {
    const context = createContext()
    context.seen.recordVersion(20)
    const stale = createResponse(200, { objects: [], version: 11 })
    const retried = runWithReplies(listProcedure('a/', context), [stale, createResponse(200, { objects: [], version: 21 })])
    expect(retried.value).to.deep.equal({ ok: true, value: { objects: [], version: 21 } })
    const exhausted = runWithReplies(listProcedure('a/', context), [stale])
    expect(exhausted.value.ok ? 'ok' : exhausted.value.error.kind).to.equal('unavailable')
    expect(exhausted.sent.length).to.equal(4)
  })

  it('takes a listing that was made while later changes were seen', () => {
    // Symptom: a busy store can't be listed. Sequence: the list is asked, a watch brings a later version, the
    // answer comes. Cause: comparing with what was seen at the answer instead of at the question.
    const context = createContext()
    const procedure = listProcedure('a/', context)
    procedure.next()
    context.seen.recordVersion(30)
    const step = procedure.next(createResponse(200, { objects: [], version: 29 }))
    expect(step.done).to.equal(true)
    expect(step.value).to.deep.equal({ ok: true, value: { objects: [], version: 29 } })
  })
})

import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { createRandom, parseRequestId } from 'dotterelspur'
import { expectedAnswer } from 'dotterelspur-testkit'
import { Agent } from 'undici'
import { arrivalTimes } from '../../process/load/ArrivalSchedule.js'
import { CallKind, MIXES, planCall } from '../../process/load/WorkloadMix.js'
import type { PlannedCall } from '../../process/load/WorkloadMix.js'
import { Caller } from '../../request/Caller.js'
import { CallOutcome } from '../../request/CallRecord.js'
import { SseReader } from '../../request/SseReader.js'

const CALL: PlannedCall = { team: 'tradeline', kind: CallKind.ChatStream, prompt: 'summary of a trip', maxTokens: 30, seed: 5, number: 1 }
const ANSWER = expectedAnswer({ model: 'm', version: 'v1', prompt: 'user: summary of a trip\n', seed: 5 }, 30)
const OTHER = expectedAnswer({ model: 'm', version: 'v1', prompt: 'user: another trip\n', seed: 5 }, 30)
const DONE = 'data: [DONE]\n\n'

type Reply = (response: ServerResponse) => void

interface Fixture {
  readonly caller: Caller
  readonly keys: Array<string | undefined>
  stop (): Promise<void>
}

/** A stand-in entry that names itself in the directory, after an address that nobody listens on, and gives one reply. */
async function createFixture (reply: Reply): Promise<Fixture> {
  const keys: Array<string | undefined> = []
  const server: Server = createServer((request, response) => {
    if (request.url === '/v1/entries') {
      response.end(JSON.stringify({ entries: [{ address: 'http://127.0.0.1:9', home: 'n1.7' }, { address: url, home: 'n2.1' }], ttlMs: 60_000 }))
      return
    }
    keys.push(request.headers['idempotency-key'] as string | undefined)
    reply(response)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const dispatcher = new Agent()
  const target = {
    entries: [url],
    admin: [],
    adminToken: '',
    teams: [{ team: 'tradeline', token: 't', models: ['m'] }],
    services: [{ service: 's', safePath: '/services/s/trips', oncePath: '/services/s/claims' }],
    control: ''
  }
  const caller = new Caller({ target, dispatcher, random: createRandom(1), versions: ['v1', 'v2'], timeoutMs: 2_000, onTokenGap: () => {} })
  return {
    caller,
    keys,
    stop: async () => {
      await dispatcher.destroy()
      server.closeAllConnections()
      server.close()
    }
  }
}

function chunk (content: string, finishReason: string | null = null): string {
  return `data: ${JSON.stringify({ id: 'chatcmpl-n1.7.a.b', choices: [{ delta: { content }, finish_reason: finishReason }] })}\n\n`
}

function errorOf (outcome: string): string {
  return JSON.stringify({ error: { type: 'overloaded', message: 'full', outcome, requestId: 'r', retryAfterMs: 5 } })
}

interface Case {
  readonly name: string
  readonly reply: Reply
  readonly outcome: CallOutcome
}

const CASES: readonly Case[] = [
  { name: 'a whole answer', reply: (response) => response.end(chunk(ANSWER.slice(0, 20)) + chunk(ANSWER.slice(20)) + chunk('', 'stop') + DONE), outcome: CallOutcome.Answered },
  { name: 'a whole answer of another request', reply: (response) => response.end(chunk(OTHER) + chunk('', 'stop') + DONE), outcome: CallOutcome.Wrong },
  { name: 'a part with an end mark', reply: (response) => response.end(chunk(ANSWER.slice(0, 20)) + chunk('', 'stop') + DONE), outcome: CallOutcome.Wrong },
  { name: 'a piece twice', reply: (response) => response.end(chunk(ANSWER.slice(0, 20)) + chunk(ANSWER.slice(10)) + chunk('', 'stop') + DONE), outcome: CallOutcome.Wrong },
  { name: 'no end mark', reply: (response) => response.end(chunk(ANSWER)), outcome: CallOutcome.CutOff },
  { name: 'a reset inside the stream', reply: (response) => { response.write(chunk('a'), () => { response.destroy() }) }, outcome: CallOutcome.CutOff },
  { name: 'an error inside the stream', reply: (response) => response.end(`${chunk('a')}event: error\ndata: ${errorOf('unknown')}\n\n`), outcome: CallOutcome.Unknown },
  { name: 'a refusal', reply: (response) => response.writeHead(503).end(errorOf('not-run')), outcome: CallOutcome.NotRun },
  { name: 'an error of another shape', reply: (response) => response.writeHead(502).end('<html>'), outcome: CallOutcome.Unknown },
  { name: 'a reset before the response', reply: (response) => { response.destroy() }, outcome: CallOutcome.CutOff }
]

describe('Caller', () => {
  for (const { name, reply, outcome } of CASES) {
    it(`judges ${name} as ${outcome}`, async () => {
      const fixture = await createFixture(reply)
      const record = await fixture.caller.run(CALL, Date.now())
      await fixture.stop()
      expect(record.outcome).to.equal(outcome)
    })
  }

  it('gives once-only calls an id of the home that the directory named', async () => {
    const fixture = await createFixture((response) => response.end('{}'))
    const record = await fixture.caller.run({ ...CALL, kind: CallKind.ServiceOnce }, Date.now())
    await fixture.stop()
    expect(record).to.include({ once: true, outcome: CallOutcome.Answered })
    expect(parseRequestId(fixture.keys[0] ?? '')?.home).to.equal('n1.7')
  })
})

describe('arrivalTimes', () => {
  it('holds the rate outside bursts and multiplies it inside, the same for the same seed', () => {
    const settings = { requestsPerSecond: 100, durationMs: 60_000, burstFactor: 3, burstEveryMs: 10_000, burstLengthMs: 2_000 }
    const times = [...arrivalTimes(settings, createRandom(1))]
    const inBurst = times.filter((atMs) => atMs % 10_000 >= 8_000).length
    expect(inBurst / 12).to.be.within(270, 330)
    expect((times.length - inBurst) / 48).to.be.within(90, 110)
    expect([...arrivalTimes(settings, createRandom(1))]).to.deep.equal(times)
  })
})

describe('planCall', () => {
  it('draws both deployments and every kind, with prompts that differ', () => {
    const random = createRandom(1)
    const calls = Array.from({ length: 500 }, (_, number) => planCall(number, MIXES, random))
    expect(new Set(calls.map((call) => `${call.team} ${call.kind}`)).size).to.equal(10)
    expect(new Set(calls.map((call) => call.prompt)).size).to.equal(500)
  })
})

describe('SseReader', () => {
  it('gives the same events however the text is cut', () => {
    const text = 'data: one\n\nevent: error\ndata: two\n\n'
    const reader = new SseReader()
    const events = [...text].flatMap((character) => reader.push(character))
    expect(events).to.deep.equal([{ name: 'message', data: 'one' }, { name: 'error', data: 'two' }])
  })
})

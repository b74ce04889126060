import { request } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'

const SECOND_MS = 1_000
const DEFAULT_PAUSE_MS = 200
const ATTEMPT_MS = 10_000
const ATTEMPTS = 40

export interface PatientCall {
  readonly host: string
  readonly port: number
  readonly path: string
  readonly method: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
}

/** What came of a call; `attempts` lists the outcomes of the attempts that failed. */
export interface PatientOutcome {
  readonly isAnswered: boolean
  readonly attempts: readonly string[]
}

/** Calls as an ordinary caller does that may repeat its request: each attempt on a new connection, after the time that a refusal names. */
export async function callPatiently (call: PatientCall): Promise<PatientOutcome> {
  const attempts: string[] = []
  while (attempts.length < ATTEMPTS) {
    const { status, retryAfterMs } = await attempt(call)
    if (status === '200') return { isAnswered: true, attempts }
    attempts.push(status)
    await delay(retryAfterMs)
  }
  return { isAnswered: false, attempts }
}

async function attempt ({ body, ...options }: PatientCall): Promise<{ status: string, retryAfterMs: number }> {
  return await new Promise((resolve) => {
    const call = request({ ...options, agent: false, signal: AbortSignal.timeout(ATTEMPT_MS) }, (response) => {
      const retryAfter = Number(response.headers['retry-after'])
      response.resume()
      response.on('error', (error) => { resolve({ status: error.message, retryAfterMs: DEFAULT_PAUSE_MS }) })
      response.on('end', () => { resolve({ status: String(response.statusCode), retryAfterMs: Number.isNaN(retryAfter) ? DEFAULT_PAUSE_MS : retryAfter * SECOND_MS }) })
    })
    call.on('error', (error) => { resolve({ status: error.message, retryAfterMs: DEFAULT_PAUSE_MS }) })
    call.end(body)
  })
}

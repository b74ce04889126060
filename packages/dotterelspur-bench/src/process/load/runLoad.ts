import { setTimeout as delay } from 'node:timers/promises'
import { Agent } from 'undici'
import { createRandom } from 'dotterelspur'
import { Caller } from '../../request/Caller.js'
import { CallOutcome } from '../../request/CallRecord.js'
import { arrivalTimes } from './ArrivalSchedule.js'
import type { ArrivalSettings } from './ArrivalSchedule.js'
import { LoadRecorder, recordMs } from './LoadRecorder.js'
import type { LoadTarget } from './LoadTarget.js'
import { planCall } from './WorkloadMix.js'
import type { WorkloadMix } from './WorkloadMix.js'

export interface LoadOptions {
  readonly target: LoadTarget
  readonly arrivals: ArrivalSettings
  readonly mixes: readonly WorkloadMix[]
  readonly seed: number
  readonly timeoutMs: number
  /** Model versions that may answer; null if the texts of answers are not checked. */
  readonly versions: readonly string[] | null
  readonly progress: (line: string) => void
}

const PROGRESS_INTERVAL_MS = 5_000
const MAXIMUM_CONNECTIONS = 2_048

/** Sends an open-loop load, and waits until all calls have ended. */
export async function runLoad (options: LoadOptions): Promise<LoadRecorder> {
  const recorder = new LoadRecorder()
  const dispatcher = new Agent({ connections: MAXIMUM_CONNECTIONS, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 1_000 } })
  const caller = new Caller({
    target: options.target,
    dispatcher,
    random: createRandom(options.seed + 1),
    versions: options.versions,
    timeoutMs: options.timeoutMs,
    onTokenGap: (gapMs) => { recordMs(recorder.tokenGaps, gapMs) }
  })
  const progress = setInterval(() => { options.progress(progressLine(recorder, pending.size)) }, PROGRESS_INTERVAL_MS)
  const pending = new Set<Promise<void>>()
  try {
    await sendAll(options, caller, recorder, pending)
    await Promise.all(pending)
  } finally {
    clearInterval(progress)
    await dispatcher.destroy()
  }
  return recorder
}

async function sendAll (options: LoadOptions, caller: Caller, recorder: LoadRecorder, pending: Set<Promise<void>>): Promise<void> {
  const random = createRandom(options.seed)
  const startedAtMs = Date.now()
  let number = 0
  for (const atMs of arrivalTimes(options.arrivals, random)) {
    const intendedAtMs = startedAtMs + atMs
    const waitMs = intendedAtMs - Date.now()
    if (waitMs > 0) await delay(waitMs)
    const call = planCall(number++, options.mixes, random)
    const running: Promise<void> = caller.run(call, intendedAtMs).then((record) => {
      recorder.add(record)
      pending.delete(running)
    })
    pending.add(running)
  }
}

function progressLine (recorder: LoadRecorder, pending: number): string {
  const answered = recorder.count(CallOutcome.Answered)
  return `${recorder.records.length} calls ended, ${answered} answered, ${pending} under way`
}

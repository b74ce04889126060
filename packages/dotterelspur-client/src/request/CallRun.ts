import { OutcomeKind, OutcomeReason, RequestSafety, failed, sleep, success, type Clock, type Random, type Result } from 'dotterelspur'
import { z } from 'zod'
import type { DirectoryCache, KnownEntry } from '../process/DirectoryCache.js'
import { CallFailureKind, type CallFailure } from './CallFailure.js'
import { NextStepKind, decideRetry, type ClientRetryBudget, type RetryOptions } from './decideRetry.js'
import type { HttpTransport } from './HttpTransport.js'

/** What all calls of one client share. */
export interface CallContext {
  readonly transport: HttpTransport
  readonly directory: DirectoryCache
  readonly clock: Clock
  readonly random: Random
  readonly retry: RetryOptions
  readonly budget: ClientRetryBudget
}

/** One try at one address. */
export type Attempt<Value> = (entry: KnownEntry, headers: Readonly<Record<string, string>>) => Promise<Result<Value, CallFailure>>

const stateSchema = z.object({ state: z.enum(['running', 'ended']), outcome: z.object({ kind: z.nativeEnum(OutcomeKind) }).nullable() })

enum AskedKind {
  /** The same id may be sent again: it gives the answer of its one run, or runs for the first time. */
  SendAgain = 'send-again',
  /** Nothing more can be learnt. */
  Final = 'final'
}

const NOT_FOUND_STATUS = 404

/**
 * One request of a caller, over all its submissions. A non-idempotent one keeps one id, which names the home that
 * decides on it, and numbers its submissions.
 */
export class CallRun<Value> {
  private attempts = 0
  private submission = 1
  private key: string | null = null

  constructor (private readonly context: CallContext, private readonly safety: RequestSafety, private readonly attempt: Attempt<Value>) {}

  async run (): Promise<Result<Value, CallFailure>> {
    this.context.budget.noteFirstAttempt()
    for (;;) {
      const result = await this.tryOnce()
      if (result.ok) return result
      const step = decideRetry(result.error, { safety: this.safety, attempts: this.attempts, options: this.context.retry }, this.context.random)
      if (step.kind === NextStepKind.GiveUp || !this.context.budget.tryRetry()) return result
      await sleep(this.context.clock, step.delayMs)
      if (hasLostItsHome(result.error)) this.forgetKey()
      else if (step.kind === NextStepKind.Again) this.submission += step.nextSubmission ? 1 : 0
      else if (!await this.mayAskAgain()) return result
    }
  }

  private async tryOnce (): Promise<Result<Value, CallFailure>> {
    this.attempts += 1
    const chosen = await this.context.directory.choose()
    if (!chosen.ok) return chosen
    const entry = chosen.value
    const result = await this.attempt(entry, this.headersFor(entry))
    if (result.ok) return success(result.value)
    const { error } = result
    const leaving = error.kind === CallFailureKind.Refused && error.entries.length > 0
    if (error.kind !== CallFailureKind.Refused || leaving) this.context.directory.noteFailure(entry.address, leaving ? error.entries : [])
    return failed(error)
  }

  private headersFor (entry: KnownEntry): Readonly<Record<string, string>> {
    if (this.safety === RequestSafety.Idempotent) return {}
    this.key ??= this.makeKey(entry)
    return { 'dotterelspur-non-idempotent': 'true', 'idempotency-key': this.key, 'dotterelspur-submission': String(this.submission) }
  }

  /** An id that names the entry's process as its home; without one known, a key that the system must claim. */
  private makeKey ({ home }: KnownEntry): string {
    const random = Array.from({ length: 4 }, () => this.context.random.integer(2 ** 32).toString(36).padStart(7, '0')).join('')
    if (home === null) return `own-${random}`
    return `${home}.${this.context.directory.systemWallMs().toString(36)}.${random}`
  }

  /** Another id takes the place of one that did not run. */
  private forgetKey (): void {
    this.key = null
    this.submission = 1
    this.context.directory.expire()
  }

  /** Whether the same id may be sent again after an outcome that was not known. */
  private async mayAskAgain (): Promise<boolean> {
    const asked = await this.ask()
    if (asked === AskedKind.Final) return false
    this.submission += 1
    return true
  }

  private async ask (): Promise<AskedKind> {
    for (let tries = 0; tries < this.context.retry.maxAttempts; tries += 1) {
      const chosen = await this.context.directory.choose()
      if (!chosen.ok) return AskedKind.Final
      const answer = await this.context.transport.json({ address: chosen.value.address, method: 'GET', path: `/v1/requests/${encodeURIComponent(this.key!)}`, headers: {}, body: null })
      if (answer.ok) return readState(answer.value.body)
      if (answer.error.kind === CallFailureKind.Refused && answer.error.status === NOT_FOUND_STATUS) return AskedKind.SendAgain
      this.context.directory.noteFailure(chosen.value.address)
      await sleep(this.context.clock, this.context.retry.firstDelayMs)
    }
    return AskedKind.Final
  }
}

const HOME_TAKES_NO_WORK: ReadonlySet<OutcomeReason> = new Set([OutcomeReason.HomeGone, OutcomeReason.Draining, OutcomeReason.Isolated])

/** The id did not run, and its home will not take it any more: another id is safe, the same one is of no use. */
function hasLostItsHome (failure: CallFailure): boolean {
  return failure.kind === CallFailureKind.Refused && failure.outcome === OutcomeKind.NotRun && HOME_TAKES_NO_WORK.has(failure.reason)
}

function readState (body: unknown): AskedKind {
  const parsed = stateSchema.safeParse(body)
  if (!parsed.success) return AskedKind.Final
  const { state, outcome } = parsed.data
  const hasAnswer = state === 'running' || outcome?.kind === OutcomeKind.Answered
  return hasAnswer || outcome?.kind === OutcomeKind.NotRun ? AskedKind.SendAgain : AskedKind.Final
}

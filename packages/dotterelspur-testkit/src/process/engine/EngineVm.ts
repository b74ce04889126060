import { PREFIX_BLOCK_CHARACTERS, createRandom, EndpointErrorKind, EngineState, failed, OrderKind, prefixHashes, StreamState, success } from 'dotterelspur'
import type { Clock, EngineOrder, GenerateRequest, GroupMember, RequestId, Result, StreamStatus, VmStatus } from 'dotterelspur'
import type { ExpectedAnswers } from '../../request/ExpectedAnswers.js'
import { EngineRun } from '../../request/EngineRun.js'
import { countTokens } from '../../request/AnswerText.js'
import type { Ledger } from '../Ledger.js'
import { TimerSet } from '../TimerSet.js'
import { VmPower } from '../VmHost.js'
import type { VmHost } from '../VmHost.js'
import { BatchScheduler } from './BatchScheduler.js'
import { CacheEventLog } from './CacheEventLog.js'
import { malformed, refused, wrongFormation } from './EngineErrors.js'
import type { EngineFault } from './EngineErrors.js'
import { FencingMode } from './EngineSettings.js'
import type { EngineSettings, LoadRequester } from './EngineSettings.js'
import type { GroupHealth } from './GroupHealth.js'
import { ModelMemory } from './ModelMemory.js'
import { PrefixCache } from './PrefixCache.js'

export type FormOrder = Extract<EngineOrder, { kind: OrderKind.Form }>

/** Parts that all engines of a fleet share. */
export interface EngineContext {
  readonly settings: EngineSettings
  readonly clock: Clock
  readonly ledger: Ledger
  readonly requestLoad: LoadRequester
  readonly seed: number
  readonly answers: ExpectedAnswers
  /** State of a formation's members, as its leader observes it over the fabric. */
  healthOf (form: FormOrder): GroupHealth
}

const REFUSED_RETRY_MS = 250

/** The engine process of one incarnation of a VM: its orders, its batch and its loaded models. */
export class EngineVm {
  private state = EngineState.Idle
  private form: FormOrder | undefined
  private fencing = 0
  private readonly runs = new Map<RequestId, EngineRun>()
  private readonly timers: TimerSet
  private readonly memory: ModelMemory
  readonly cache: PrefixCache
  readonly cacheEvents: CacheEventLog
  private readonly batch: BatchScheduler

  constructor (readonly host: VmHost, private readonly context: EngineContext) {
    const { settings, clock, seed } = context
    this.timers = new TimerSet(clock)
    this.memory = new ModelMemory(this.timers, context.requestLoad)
    this.cache = new PrefixCache(settings.cacheBlocks)
    this.cacheEvents = new CacheEventLog(settings, clock, createRandom(seed + host.incarnation))
    this.batch = new BatchScheduler(settings, clock, {
      paused: () => host.power === VmPower.Paused,
      health: () => context.healthOf(this.form!),
      prefillMs: (run) => this.readPrompt(run),
      onBroken: () => { this.state = EngineState.Failed }
    })
  }

  status (): VmStatus {
    const leaving = this.host.leaving && this.state === EngineState.Ready
    return {
      vm: this.host.place.vm,
      incarnation: this.host.incarnation,
      state: leaving ? EngineState.Leaving : this.state,
      group: this.form?.group ?? null,
      formation: this.form?.formation ?? 0,
      model: this.form?.model ?? null,
      version: this.form?.version ?? null,
      adapters: this.form?.adapters ?? [],
      loaded: this.memory.loaded(),
      fencing: this.fencing,
      load: this.batch.load(this.cache.usedShare)
    }
  }

  /** Whether this VM belongs to a formation as the member that the order names. */
  belongsTo (form: FormOrder, member: GroupMember): boolean {
    return this.host.incarnation === member.incarnation && this.form?.group === form.group &&
      this.form.formation === form.formation && (this.state === EngineState.Ready || this.state === EngineState.Leaving)
  }

  order (order: EngineOrder, fencing: number): Result<VmStatus, EngineFault> {
    const checked = this.context.settings.fencing === FencingMode.Checked
    if (checked && fencing < this.fencing) return failed({ kind: EndpointErrorKind.Fenced, highestFencing: this.fencing })
    const refusal = ORDER_HANDLERS[order.kind](this, order as never, checked)
    if (refusal !== undefined) return failed(refusal)
    this.fencing = checked ? fencing : Math.max(fencing, this.fencing)
    return success(this.status())
  }

  /** Admits a request, or returns why it does not run. A request with the id of a running or remembered one attaches to that run. */
  generate (request: GenerateRequest): Result<EngineRun, EngineFault> {
    const known = this.runs.get(request.requestId)
    if (known !== undefined && known.status().state !== StreamState.Cancelled) return success(known)
    const refusal = this.refusalOf(request)
    if (refusal !== undefined) return failed(refusal)
    const { membersUp, membersDue } = this.context.healthOf(this.form!)
    const close = this.context.ledger.begin({
      requestId: request.requestId,
      idempotencyKey: request.idempotencyKey,
      endpoint: this.host.place.vm,
      group: this.form!.group,
      formation: this.form!.formation,
      membersUp,
      membersDue
    })
    this.context.answers.note(request)
    const run = new EngineRun(request, (end) => { close(end); this.forgetLater(run) })
    this.runs.set(request.requestId, run)
    this.batch.submit(run)
    return success(run)
  }

  run (requestId: RequestId): EngineRun | undefined {
    return this.runs.get(requestId)
  }

  lookup (requestId: RequestId): StreamStatus {
    return this.runs.get(requestId)?.status() ?? { requestId, state: StreamState.Absent, offset: 0 }
  }

  cancel (requestId: RequestId): StreamStatus {
    this.runs.get(requestId)?.cancel()
    return this.lookup(requestId)
  }

  /** A run without connections continues for the grace period, so that it can be resumed, and is then cancelled. */
  detach (run: EngineRun): void {
    if (run.finished || run.followers.size > 0) return
    this.timers.after(this.context.settings.detachGraceMs, () => {
      if (run.followers.size === 0) run.cancel()
    })
  }

  /** Ends the process and discards its state. */
  die (): void {
    this.timers.close()
    this.batch.dieAll()
  }

  applyForm (order: FormOrder, checked: boolean): EngineFault | undefined {
    const current = this.form
    if (current?.group === order.group && current.formation === order.formation) return undefined
    if (checked && current?.group === order.group && order.formation < current.formation) {
      return wrongFormation(`at formation ${current.formation} of ${current.group}`)
    }
    if (!order.members.some((member) => member.vm === this.host.place.vm && member.incarnation === this.host.incarnation)) {
      return wrongFormation(`${this.host.place.vm} at incarnation ${this.host.incarnation} is no member`)
    }
    this.batch.dieAll()
    this.form = order
    this.state = EngineState.Loading
    this.memory.ensure(order, this.context.settings.weightBytesPerVm, () => {
      if (this.form === order && this.state === EngineState.Loading) this.state = EngineState.Ready
    })
    return undefined
  }

  applyPreload (order: Extract<EngineOrder, { kind: OrderKind.Preload }>): undefined {
    this.memory.ensure(order, this.context.settings.weightBytesPerVm, () => {})
  }

  applyDrain (order: Extract<EngineOrder, { kind: OrderKind.Drain }>): EngineFault | undefined {
    if (!this.isAt(order)) return wrongFormation(this.describeMembership())
    if (this.state === EngineState.Ready || this.state === EngineState.Loading) this.state = EngineState.Leaving
    return undefined
  }

  applyRelease (order: Extract<EngineOrder, { kind: OrderKind.Release }>): EngineFault | undefined {
    if (this.form === undefined) return undefined
    if (!this.isAt(order)) return wrongFormation(this.describeMembership())
    this.batch.dieAll()
    this.form = undefined
    this.state = EngineState.Idle
    return undefined
  }

  private isAt (place: { readonly group: string, readonly formation: number }): boolean {
    return this.form?.group === place.group && this.form.formation === place.formation
  }

  private describeMembership (): string {
    return this.form === undefined ? 'in no group' : `at formation ${this.form.formation} of ${this.form.group}`
  }

  private refusalOf (request: GenerateRequest): EngineFault | undefined {
    const form = this.form
    if (form === undefined || !this.isAt(request)) return wrongFormation(this.describeMembership())
    if (form.members[0]?.vm !== this.host.place.vm) return wrongFormation(`rank ${form.rank} leads nothing`)
    if (form.model !== request.model || form.version !== request.version) return wrongFormation(`serves ${form.model} ${form.version}`)
    if (request.adapter !== null && !form.adapters.includes(request.adapter)) return wrongFormation(`adapter ${request.adapter} is not loaded`)
    if (request.maxTokens < 1) return malformed('maxTokens must be at least 1')
    if (this.state !== EngineState.Ready) return refused(`engine is ${this.state}`, REFUSED_RETRY_MS)
    return this.batch.full ? refused('queue is full', REFUSED_RETRY_MS) : undefined
  }

  private readPrompt (run: EngineRun): number {
    const text = run.request.prompt + run.request.resumeText
    const hashes = prefixHashes(text)
    const cachedCharacters = this.cache.hitBlocks(hashes) * PREFIX_BLOCK_CHARACTERS
    this.cacheEvents.record(this.cache.store(hashes))
    return countTokens(text.slice(cachedCharacters)) * this.context.settings.prefillMsPerToken
  }

  private forgetLater (run: EngineRun): void {
    this.timers.after(this.context.settings.rememberMs, () => {
      if (this.runs.get(run.request.requestId) === run) this.runs.delete(run.request.requestId)
    })
  }
}

type OrderHandlers = {
  readonly [Kind in OrderKind]: (engine: EngineVm, order: Extract<EngineOrder, { kind: Kind }>, checked: boolean) => EngineFault | undefined
}

const ORDER_HANDLERS: OrderHandlers = {
  [OrderKind.Form]: (engine, order, checked) => engine.applyForm(order, checked),
  [OrderKind.Preload]: (engine, order) => engine.applyPreload(order),
  [OrderKind.Drain]: (engine, order) => engine.applyDrain(order),
  [OrderKind.Release]: (engine, order) => engine.applyRelease(order)
}

import createDebug from 'debug'
import {
  type Clock, type Effect, type EffectHandlers, type MeshApi, NODE_PREFIX, type NodeMember, type NodeObject, type ObjectStore, perform, type Procedure, type Random, type Result,
  runProcedure, sleep, type StoredObject, type StoreError, StoreErrorKind, type Teardown
} from 'dotterelspur'

const log = createDebug('dotterelspur:store-follower')
const RETRY_MIN_MS = 500
const RETRY_MAX_MS = 15_000

export enum RegistrationEffectKind {
  Read = 'read',
  Create = 'create',
  Update = 'update',
  Wait = 'wait',
  /** Whether no later write has replaced this one. */
  IsCurrent = 'is-current'
}

type WriteResult = Result<StoredObject<NodeObject>, StoreError>

export type RegistrationEffect =
  | Effect<RegistrationEffectKind.Read, WriteResult> & { readonly key: string }
  | Effect<RegistrationEffectKind.Create, WriteResult> & { readonly key: string, readonly body: NodeObject }
  | Effect<RegistrationEffectKind.Update, WriteResult> & { readonly key: string, readonly body: NodeObject, readonly version: number }
  | Effect<RegistrationEffectKind.Wait, void> & { readonly durationMs: number }
  | Effect<RegistrationEffectKind.IsCurrent, boolean>

export enum RegistrationOutcome {
  Written = 'written',
  /** The store holds an object of a later incarnation of this node, which must not be overwritten. */
  Superseded = 'superseded',
  Abandoned = 'abandoned'
}

/**
 * Writes a node's object and retries for as long as the store is unavailable. It reads the object before each write:
 * if an earlier write succeeded and only its response was lost, the object matches and is not written again.
 */
export function * writeNodeObject (body: NodeObject, random: Random): Procedure<RegistrationEffect, RegistrationOutcome> {
  const key = `${NODE_PREFIX}${body.node}`
  for (let attempt = 0; ; attempt += 1) {
    const current = yield * perform<Extract<RegistrationEffect, { kind: RegistrationEffectKind.IsCurrent }>>({ kind: RegistrationEffectKind.IsCurrent })
    if (!current) return RegistrationOutcome.Abandoned
    const read = yield * perform<Extract<RegistrationEffect, { kind: RegistrationEffectKind.Read }>>({ kind: RegistrationEffectKind.Read, key })
    if (read.ok && !read.value.deleted) {
      if (isSameRegistration(read.value.body, body)) return RegistrationOutcome.Written
      if (read.value.body.incarnation > body.incarnation) return RegistrationOutcome.Superseded
    }
    const written = yield * writeAfterRead(key, body, read)
    if (written) return RegistrationOutcome.Written
    const boundMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** attempt)
    yield * perform<Extract<RegistrationEffect, { kind: RegistrationEffectKind.Wait }>>({ kind: RegistrationEffectKind.Wait, durationMs: boundMs * (0.5 + random.next() / 2) })
  }
}

function isSameRegistration (stored: NodeObject, body: NodeObject): boolean {
  return stored.incarnation === body.incarnation && stored.draining === body.draining && stored.meshAddress === body.meshAddress
}

function * writeAfterRead (key: string, body: NodeObject, read: WriteResult): Procedure<RegistrationEffect, boolean> {
  const absent = read.ok ? read.value.deleted : read.error.kind === StoreErrorKind.NotFound
  if (absent) {
    const created = yield * perform<Extract<RegistrationEffect, { kind: RegistrationEffectKind.Create }>>({ kind: RegistrationEffectKind.Create, key, body })
    return created.ok
  }
  if (!read.ok) return false
  const updated = yield * perform<Extract<RegistrationEffect, { kind: RegistrationEffectKind.Update }>>({ kind: RegistrationEffectKind.Update, key, body, version: read.value.version })
  return updated.ok
}

export interface NodeRegistrationOptions {
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: Random
}

/** Writes `nodes/<node>` when the node starts and when it drains; there is no heartbeat. */
export class NodeRegistration {
  private writeGeneration = 0
  private cancelWait: Teardown | undefined

  constructor (private readonly options: NodeRegistrationOptions) {}

  start (): void {
    this.write(false).catch((error) => log('registration: %O', error))
  }

  /** Returns whether the object was written within the timeout. */
  async registerDraining (timeoutMs: number): Promise<boolean> {
    const written = this.write(true).then((outcome) => outcome === RegistrationOutcome.Written)
    const timedOut = sleep(this.options.clock, timeoutMs).then(() => false)
    return await Promise.race([written, timedOut])
  }

  stop (): void {
    this.writeGeneration += 1
    this.cancelWait?.()
  }

  private async write (draining: boolean): Promise<RegistrationOutcome> {
    const generation = ++this.writeGeneration
    const body = nodeObjectOf(this.options.mesh.self, draining)
    const outcome = await runProcedure(writeNodeObject(body, this.options.random), this.handlers(generation))
    log('%s registered, draining %s: %s', body.node, draining, outcome)
    return outcome
  }

  private handlers (generation: number): EffectHandlers<RegistrationEffect> {
    const { store, clock } = this.options
    return {
      [RegistrationEffectKind.Read]: (effect) => store.get<NodeObject>(effect.key),
      [RegistrationEffectKind.Create]: (effect) => store.create(effect.key, effect.body),
      [RegistrationEffectKind.Update]: (effect) => store.update(effect.key, effect.body, effect.version),
      [RegistrationEffectKind.Wait]: (effect) => new Promise<void>((resolve) => { this.cancelWait = clock.registerTimer(effect.durationMs, resolve) }),
      [RegistrationEffectKind.IsCurrent]: () => generation === this.writeGeneration
    }
  }
}

/** The write token is left empty; the store client sets it. */
function nodeObjectOf (self: NodeMember, draining: boolean): NodeObject {
  const { node, incarnation, region, failureDomain, meshAddress, entryAddress, adminAddress } = self
  return { node, incarnation, region, failureDomain, meshAddress, entryAddress, adminAddress, draining, writeToken: '' }
}

import createDebug from 'debug'
import {
  CallEventKind, homeOf, NodeState, QUARANTINE_PREFIX, rendezvousOrder,
  type Clock, type HomeId, type MeshApi, type MeshDocument, type ObjectStore, type PoisonLimits, type PoisonRecord, type QuarantineObject, type RequestContent, type RequestFingerprint, type StoredObject, type Teardown
} from 'dotterelspur'
import { TerminationProbe, PoisonGuard, QuarantineRegistry } from 'dotterelspur-poison'

const debug = createDebug('dotterelspur:poison')
const NOTE_METHOD = 'poison.note'
/** How often decisions are written and evidence is told that did not get through. */
const LOOK_INTERVAL_MS = 200
const TELL_TIMEOUT_MS = 1_000
const USUAL_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

export interface PoisonKeeperParts {
  readonly clock: Clock
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly limits: PoisonLimits
  readonly hasEnded: ((address: string) => Promise<boolean>) | undefined
}

/** A request whose endpoint was lost in the middle of it. */
export interface LostRun {
  readonly content: RequestContent
  /** Names one life of the endpoint. */
  readonly endpoint: string
  /** Base URL of the endpoint. */
  readonly url: string
  /** Tokens of the answer that had come from there. */
  readonly tokens: number
}

/**
 * Keeps requests that end endpoints away from them. All evidence on one request is told to one node, its home, which answers with
 * what is known and writes the decision down; the mesh spreads that as it spreads settings. So an end costs one call,
 * however many nodes there are.
 */
export class PoisonKeeper {
  readonly guard: PoisonGuard
  private readonly quarantine: QuarantineRegistry
  private readonly ended: TerminationProbe
  /** What its home has not confirmed yet. */
  private readonly untold = new Map<RequestFingerprint, PoisonRecord>()
  private readonly telling = new Set<RequestFingerprint>()
  private cancelTimer: Teardown = () => {}

  constructor (private readonly parts: PoisonKeeperParts) {
    const { clock, mesh, store, limits, hasEnded } = parts
    this.ended = new TerminationProbe(hasEnded)
    this.guard = new PoisonGuard({ clock, limits, isHome: (fingerprint) => this.homeOf(fingerprint) === homeOf(mesh.self), onEvidence: (record) => { this.learn(record) } })
    this.quarantine = new QuarantineRegistry({
      store, node: mesh.self.node, maxEntries: limits.mostRecords, clock, onWritten: (object) => { mesh.offerDocument(object) }, onProblem: (fingerprint, reason) => { debug('decision on %s not written: %s', fingerprint, reason) }
    })
    this.quarantine.registerListener({
      onQuarantined: (fingerprint, { outline, ends }) => {
        debug('%s is in quarantine after %d ends', fingerprint, ends)
        this.guard.ledger.noteDecision(fingerprint, outline)
      },
      onReleased: (fingerprint) => {
        debug('%s may run again', fingerprint)
        this.guard.ledger.noteQuarantineLifted(fingerprint, clock.nowMs())
      }
    })
  }

  start (): Teardown {
    const { mesh } = this.parts
    const unregisterHandler = mesh.registerCallHandler(NOTE_METHOD, (record) => this.takeNote(record as PoisonRecord))
    const unregisterDocuments = mesh.registerDocumentListener(QUARANTINE_PREFIX, (document) => { this.quarantine.applyObject(document as StoredObject<QuarantineObject>) })
    for (const document of mesh.documents(QUARANTINE_PREFIX)) this.quarantine.applyObject(document as MeshDocument & StoredObject<QuarantineObject>)
    this.schedule()
    return () => {
      this.cancelTimer()
      unregisterDocuments()
      unregisterHandler()
    }
  }

  /** Finds out whether the endpoint has ended; if so, that counts against the request once this resolves. */
  async noteLoss ({ content, endpoint, url, tokens }: LostRun): Promise<void> {
    const ended = await this.ended.hasTerminated(addressOf(url))
    debug('%s lost in the middle of a request, %s', endpoint, ended ? 'has ended' : 'still listens or is silent')
    if (!ended) return
    this.guard.noteTermination(content, endpoint, tokens)
    await this.tellHomes()
  }

  private schedule (): void {
    this.cancelTimer = this.parts.clock.registerTimer(LOOK_INTERVAL_MS, () => {
      this.schedule()
      this.look()
    })
  }

  private look (): void {
    const { ledger } = this.guard
    if (ledger.isEmpty) return
    ledger.expire(this.parts.clock.nowMs())
    const own = [...ledger.quarantined].filter((fingerprint) => this.homeOf(fingerprint) === homeOf(this.parts.mesh.self))
    this.quarantine.persist(own.flatMap((fingerprint) => ledger.recordOf(fingerprint) ?? []))
    this.tellHomes().catch((error: unknown) => { debug('evidence not told: %s', String(error)) })
  }

  private learn (record: PoisonRecord): void {
    debug('%s: %d ends, %d answers', record.fingerprint, record.ends.length, record.answers)
    if (this.homeOf(record.fingerprint) !== homeOf(this.parts.mesh.self)) this.untold.set(record.fingerprint, record)
  }

  private async * takeNote (record: PoisonRecord): AsyncIterable<PoisonRecord> {
    const { ledger } = this.guard
    ledger.merge([record], this.parts.clock.nowMs())
    yield ledger.recordOf(record.fingerprint) ?? record
  }

  private async tellHomes (): Promise<void> {
    const waiting = [...this.untold.values()].filter(({ fingerprint }) => !this.telling.has(fingerprint))
    await Promise.all(waiting.map(async (record) => { await this.tellHome(record) }))
  }

  private async tellHome (record: PoisonRecord): Promise<void> {
    const { fingerprint } = record
    this.telling.add(fingerprint)
    const known = await this.askHome(this.homeOf(fingerprint), record).finally(() => { this.telling.delete(fingerprint) })
    if (known === null) return
    if (this.untold.get(fingerprint) === record) this.untold.delete(fingerprint)
    this.guard.ledger.merge([known], this.parts.clock.nowMs())
  }

  /** What the home knows of the request now; null where it could not be reached. */
  private async askHome (home: HomeId, record: PoisonRecord): Promise<PoisonRecord | null> {
    const abort = new AbortController()
    const cancel = this.parts.clock.registerTimer(TELL_TIMEOUT_MS, () => { abort.abort() })
    try {
      for await (const event of this.parts.mesh.call(home, NOTE_METHOD, record, abort.signal)) {
        if (event.kind === CallEventKind.Message) return event.message as PoisonRecord
        if (event.kind === CallEventKind.Error) debug('%s did not take evidence: %s', home, event.error.kind)
      }
      return null
    } finally {
      cancel()
    }
  }

  private homeOf (fingerprint: RequestFingerprint): HomeId {
    const living = this.parts.mesh.members().filter(({ state }) => state === NodeState.Alive).map(homeOf)
    return rendezvousOrder(fingerprint, living)[0] ?? homeOf(this.parts.mesh.self)
  }
}

/** `ip:port` of a base URL; a URL leaves its protocol's usual port out. */
function addressOf (url: string): string {
  const { hostname, port, protocol } = new URL(url)
  return `${hostname}:${port === '' ? USUAL_PORTS[protocol] : port}`
}

import createDebug from 'debug'
import {
  CallEventKind, homeOf, NodeState, QUARANTINE_PREFIX, rendezvousOrder,
  type Clock, type HomeId, type MeshApi, type MeshDocument, type ObjectStore, type PoisonLimits, type PoisonRecord, type QuarantineObject, type RequestContent, type RequestFingerprint, type StoredObject, type Teardown
} from 'dotterelspur'
import { TerminationProbe, PoisonGuard, QuarantineRegistry } from 'dotterelspur-poison'

const debug = createDebug('dotterelspur:poison')
const NOTE_METHOD = 'poison.note'
/** How often decisions are written and evidence is told that did not get through. */
const CHECK_INTERVAL_MS = 200
const REPORT_TIMEOUT_MS = 1_000
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

export interface PoisonTrackerParts {
  readonly clock: Clock
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly limits: PoisonLimits
  readonly hasTerminated: ((address: string) => Promise<boolean>) | undefined
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
export class PoisonTracker {
  readonly guard: PoisonGuard
  private readonly quarantine: QuarantineRegistry
  private readonly terminationChecks: TerminationProbe
  /** What its home has not confirmed yet. */
  private readonly unconfirmed = new Map<RequestFingerprint, PoisonRecord>()
  private readonly reporting = new Set<RequestFingerprint>()
  private cancelTimer: Teardown = () => {}

  constructor (private readonly parts: PoisonTrackerParts) {
    const { clock, mesh, store, limits, hasTerminated } = parts
    this.terminationChecks = new TerminationProbe(hasTerminated)
    this.guard = new PoisonGuard({ clock, limits, isHome: (fingerprint) => this.homeOf(fingerprint) === homeOf(mesh.self), onEvidence: (record) => { this.onEvidence(record) } })
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
    const unregisterHandler = mesh.registerCallHandler(NOTE_METHOD, (record) => this.handleRecord(record as PoisonRecord))
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
    const terminated = await this.terminationChecks.hasTerminated(addressOf(url))
    debug('%s lost in the middle of a request, %s', endpoint, terminated ? 'has ended' : 'still listens or is silent')
    if (!terminated) return
    this.guard.noteTermination(content, endpoint, tokens)
    await this.reportToHomes()
  }

  private schedule (): void {
    this.cancelTimer = this.parts.clock.registerTimer(CHECK_INTERVAL_MS, () => {
      this.schedule()
      this.check()
    })
  }

  private check (): void {
    const { ledger } = this.guard
    if (ledger.isEmpty) return
    ledger.expire(this.parts.clock.nowMs())
    const own = [...ledger.quarantined].filter((fingerprint) => this.homeOf(fingerprint) === homeOf(this.parts.mesh.self))
    this.quarantine.persist(own.flatMap((fingerprint) => ledger.recordOf(fingerprint) ?? []))
    this.reportToHomes().catch((error: unknown) => { debug('evidence not told: %s', String(error)) })
  }

  private onEvidence (record: PoisonRecord): void {
    debug('%s: %d ends, %d answers', record.fingerprint, record.ends.length, record.answers)
    if (this.homeOf(record.fingerprint) !== homeOf(this.parts.mesh.self)) this.unconfirmed.set(record.fingerprint, record)
  }

  private async * handleRecord (record: PoisonRecord): AsyncIterable<PoisonRecord> {
    const { ledger } = this.guard
    ledger.merge([record], this.parts.clock.nowMs())
    yield ledger.recordOf(record.fingerprint) ?? record
  }

  private async reportToHomes (): Promise<void> {
    const pending = [...this.unconfirmed.values()].filter(({ fingerprint }) => !this.reporting.has(fingerprint))
    await Promise.all(pending.map(async (record) => { await this.reportToHome(record) }))
  }

  private async reportToHome (record: PoisonRecord): Promise<void> {
    const { fingerprint } = record
    this.reporting.add(fingerprint)
    const homeRecord = await this.sendRecord(this.homeOf(fingerprint), record).finally(() => { this.reporting.delete(fingerprint) })
    if (homeRecord === null) return
    if (this.unconfirmed.get(fingerprint) === record) this.unconfirmed.delete(fingerprint)
    this.guard.ledger.merge([homeRecord], this.parts.clock.nowMs())
  }

  /** What the home knows of the request now; null where it could not be reached. */
  private async sendRecord (home: HomeId, record: PoisonRecord): Promise<PoisonRecord | null> {
    const abort = new AbortController()
    const cancel = this.parts.clock.registerTimer(REPORT_TIMEOUT_MS, () => { abort.abort() })
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
    const aliveHomes = this.parts.mesh.members().filter(({ state }) => state === NodeState.Alive).map(homeOf)
    return rendezvousOrder(fingerprint, aliveHomes)[0] ?? homeOf(this.parts.mesh.self)
  }
}

/** `ip:port` of a base URL; a URL leaves its protocol's usual port out. */
function addressOf (url: string): string {
  const { hostname, port, protocol } = new URL(url)
  return `${hostname}:${port === '' ? DEFAULT_PORTS[protocol] : port}`
}

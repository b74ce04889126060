import createDebug from 'debug'
import {
  CallEventKind, homeOf, NodeState, QUARANTINE_PREFIX, rendezvousOrder,
  type Clock, type HomeId, type MeshApi, type MeshDocument, type ObjectStore, type PoisonLimits, type PoisonRecord, type QuarantineObject, type RequestContent, type RequestFingerprint, type StoredObject, type Teardown
} from 'dotterelspur'
import { TerminationProbe, PoisonGuard, QuarantineRegistry } from 'dotterelspur-poison'

const debug = createDebug('dotterelspur:poison')
const NOTE_METHOD = 'poison.note'
/** Interval at which quarantine decisions are written to the store and unconfirmed evidence is sent again. */
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

/** A run whose connection to the endpoint was lost before the answer was complete. */
export interface LostRun {
  readonly content: RequestContent
  /** Identifies one incarnation of the endpoint. */
  readonly endpoint: string
  /** Base URL of the endpoint. */
  readonly url: string
  /** Tokens of the answer that had been received from the endpoint. */
  readonly tokens: number
}

/**
 * Records which requests coincide with terminations of endpoints, and keeps requests that crash endpoints away from them. All
 * evidence on a request is sent to one node, the home of its fingerprint, which replies with the merged record and writes the
 * quarantine decision to the store; the mesh distributes the decision like settings. So a termination costs one call between
 * nodes, whatever the number of nodes.
 */
export class PoisonTracker {
  readonly guard: PoisonGuard
  private readonly quarantine: QuarantineRegistry
  private readonly terminationChecks: TerminationProbe
  /** Records whose home has not confirmed them yet. */
  private readonly unconfirmed = new Map<RequestFingerprint, PoisonRecord>()
  private readonly reporting = new Set<RequestFingerprint>()
  private cancelTimer: Teardown = () => {}

  constructor (private readonly parts: PoisonTrackerParts) {
    const { clock, mesh, store, limits, hasTerminated } = parts
    this.terminationChecks = new TerminationProbe(hasTerminated)
    this.guard = new PoisonGuard({ clock, limits, isHome: (fingerprint) => this.homeOf(fingerprint) === homeOf(mesh.self), onEvidence: (records) => { for (const record of records) this.onEvidence(record) } })
    this.quarantine = new QuarantineRegistry({
      store, node: mesh.self.node, maxEntries: limits.mostRecords, clock, onWritten: (object) => { mesh.offerDocument(object) }, onProblem: (fingerprint, reason) => { debug('quarantine decision for %s could not be written: %s', fingerprint, reason) }
    })
    this.quarantine.registerListener({
      onQuarantined: (fingerprint, { outline, ends }) => {
        debug('%s is in quarantine after %d terminations', fingerprint, ends)
        this.guard.ledger.noteDecision(fingerprint, outline)
      },
      onReleased: (fingerprint) => {
        debug('quarantine of %s was lifted', fingerprint)
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

  /** Checks whether the endpoint has terminated; if so, this counts against the request by the time the promise resolves. */
  async noteLoss ({ content, endpoint, url, tokens }: LostRun): Promise<void> {
    const terminated = await this.terminationChecks.hasTerminated(addressOf(url))
    debug('connection to %s was lost in the middle of a request; the endpoint %s', endpoint, terminated ? 'has terminated' : 'still listens or does not answer')
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
    this.reportToHomes().catch((error: unknown) => { debug('evidence could not be sent: %s', String(error)) })
  }

  private onEvidence (record: PoisonRecord): void {
    debug('%s: %d terminations, %d answers', record.fingerprint, record.ends.length, record.answers)
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

  /** Sends a record to the home. Returns the home's merged record, or null if the home could not be reached. */
  private async sendRecord (home: HomeId, record: PoisonRecord): Promise<PoisonRecord | null> {
    const abort = new AbortController()
    const cancel = this.parts.clock.registerTimer(REPORT_TIMEOUT_MS, () => { abort.abort() })
    try {
      for await (const event of this.parts.mesh.call(home, NOTE_METHOD, record, abort.signal)) {
        if (event.kind === CallEventKind.Message) return event.message as PoisonRecord
        if (event.kind === CallEventKind.Error) debug('%s did not accept evidence: %s', home, event.error.kind)
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

/** `ip:port` of a base URL; URL omits the default port of its protocol. */
function addressOf (url: string): string {
  const { hostname, port, protocol } = new URL(url)
  return `${hostname}:${port === '' ? DEFAULT_PORTS[protocol] : port}`
}

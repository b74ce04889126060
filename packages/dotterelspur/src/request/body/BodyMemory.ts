import type { Teardown } from '../../process/Teardown.js'

/** A body of up to this size never waits: it arrives in one read, and small requests must not wait for uploads. */
const SMALL_BODY_BYTES = 65_536
/** What a source may deliver after it has been resumed, until it is paused again. */
const READ_BYTES = 65_536
/** A body of unknown size is expected to take no more than this part of the limit, so that one is not the only one that is read. */
const UNKNOWN_SHARE = 1 / 8
/** What a body that waits makes a process hold at most, with its connection. */
const WAITING_BYTES = 4 * READ_BYTES
/** What those that wait may take of the limit. */
const WAITING_SHARE = 2 / 3
const MIN_WAITING = 8

/** What the bodies are a part of, such as everything that callers make a process hold. */
export interface BodyOwner {
  readonly heldBytes: number
  /** A body must wait; closes what holds memory in vain. */
  makeRoom (): void
  /** Called back before connections are closed that hold too much; returns whether memory was given back. */
  registerRelief? (relieve: () => boolean): Teardown
}

/**
 * The bytes of request bodies that a process holds: those that arrive, and those whose requests are under way. A large body is read once there is room
 * for all of it, in the order of arrival; until then it waits with its bytes unread, which costs its caller time and the process nothing. The oldest of them
 * reads on in any case, up to `reserveBytes` above the limit, so that bodies that have arrived in part do not wait for each other.
 * Load pattern: many uploads begin together, and each holds its body until its response.
 */
export class BodyMemory {
  private heldBytes = 0
  /** Bodies that are still arriving, in the order of their arrival. */
  private readonly arriving = new Set<HeldBody>()
  /** Bodies that wait, in the same order, and what resumes them. */
  private readonly waiting = new Map<HeldBody, () => void>()
  private readonly maxWaiting: number
  private lastWaitMs = 0

  /**
   * @param limitBytes of the bodies, and of what their owner holds in all.
   * @param reserveBytes the largest body that is accepted now.
   */
  constructor (private readonly limitBytes: number, private readonly reserveBytes: () => number, private readonly owner: BodyOwner = { heldBytes: 0, makeRoom: () => {} }) {
    this.maxWaiting = Math.max(MIN_WAITING, Math.floor(limitBytes * WAITING_SHARE / WAITING_BYTES))
    owner.registerRelief?.(() => this.refuseNewest())
  }

  get sizeBytes (): number {
    return this.heldBytes
  }

  get waitingBodies (): number {
    return this.waiting.size
  }

  /** How long a body that came now would wait, by the last one that waited; 0 if none waits. */
  get expectedWaitMs (): number {
    return this.waiting.size === 0 ? 0 : this.lastWaitMs
  }

  /**
   * @param onResize the body holds so many bytes more.
   * @param statedBytes the size that its caller states; null if it states none.
   */
  open (onResize: (changeBytes: number) => void = () => {}, statedBytes: number | null = null): HeldBody {
    const body: HeldBody = new HeldBody(statedBytes, {
      resize: (changeBytes) => {
        this.heldBytes += changeBytes
        onResize(changeBytes)
      },
      hasRoom: () => {
        if (this.hasRoom(body)) return true
        this.owner.makeRoom()
        return this.hasRoom(body)
      },
      wait: (resume) => {
        if (this.waiting.size === 0) this.lastWaitMs = 0
        if (this.waiting.size >= this.maxWaiting) body.refuse()
        else this.waiting.set(body, resume)
      },
      retry: () => {
        this.owner.makeRoom()
        this.resumeWaiting()
        return !this.waiting.has(body)
      },
      othersWait: () => this.waiting.size > 0,
      noteWait: (waitMs) => {
        this.lastWaitMs = waitMs
        // Its caller could not go on meanwhile, and owes progress only from now on.
        onResize(0)
      },
      end: () => {
        this.arriving.delete(body)
        this.waiting.delete(body)
        this.resumeWaiting()
      }
    })
    this.arriving.add(body)
    return body
  }

  private get roomBytes (): number {
    return this.limitBytes - Math.max(this.heldBytes, this.owner.heldBytes)
  }

  /** What bodies that have no room yet, other than this one, and their connections will take until they wait. */
  private growthBytes (except: HeldBody): number {
    let bytes = 0
    for (const body of this.arriving) if (body.grantedBytes === 0 && body !== except) bytes += this.waiting.has(body) ? READ_BYTES : Math.max(0, WAITING_BYTES - body.sizeBytes)
    return bytes
  }

  /** What bodies that have room will take beyond what they hold. */
  private get promisedBytes (): number {
    let bytes = 0
    for (const { grantedBytes, sizeBytes } of this.arriving) bytes += Math.max(0, grantedBytes - sizeBytes)
    return bytes
  }

  private hasRoom (body: HeldBody): boolean {
    if (!body.isLarge) return true
    const roomBytes = this.roomBytes - this.growthBytes(body)
    const isGranted = body.sizeBytes <= body.grantedBytes
    if (roomBytes > 0 && (isGranted || this.grant(body, roomBytes))) return true
    return body === this.oldestLarge() && (this.roomBytes + this.reserveBytes() > 0 || (isGranted && this.completeBytes < this.reserveBytes()))
  }

  /** Bodies of requests under way, which make room when these end. */
  private get completeBytes (): number {
    let bytes = this.heldBytes
    for (const { sizeBytes } of this.arriving) bytes -= sizeBytes
    return bytes
  }

  private grant (body: HeldBody, roomBytes: number): boolean {
    if (this.isBehindWaiting(body)) return false
    const neededBytes = Math.max(READ_BYTES, this.expectedBytes(body) - body.sizeBytes)
    if (roomBytes - this.promisedBytes < neededBytes) return false
    body.grantedBytes = body.sizeBytes + neededBytes
    return true
  }

  private expectedBytes ({ statedBytes }: HeldBody): number {
    return statedBytes ?? Math.min(this.reserveBytes(), this.limitBytes * UNKNOWN_SHARE)
  }

  private isBehindWaiting (body: HeldBody): boolean {
    for (const other of this.arriving) {
      if (other === body) return false
      if (this.waiting.has(other)) return true
    }
    return false
  }

  private oldestLarge (): HeldBody | undefined {
    for (const body of this.arriving) if (body.isLarge) return body
    return undefined
  }

  /** In the order of arrival: one that needs little does not overtake one that needs much, which might wait for ever. */
  private resumeWaiting (): void {
    for (const body of [...this.arriving]) {
      const resume = this.waiting.get(body)
      if (resume === undefined) continue
      if (!this.hasRoom(body)) return
      this.waiting.delete(body)
      resume()
    }
  }

  /** False if none is left that waits. */
  private refuseNewest (): boolean {
    const newest = [...this.arriving].findLast((body) => this.waiting.has(body))
    newest?.refuse()
    return newest !== undefined
  }
}

interface HeldBodyListener {
  resize (changeBytes: number): void
  hasRoom (): boolean
  wait (resume: () => void): void
  /** Resumes those for which there is room; returns whether the body does not wait any more. */
  retry (): boolean
  othersWait (): boolean
  noteWait (waitMs: number): void
  /** The body no longer arrives, or is no longer held. */
  end (): void
}

/** One body of a `BodyMemory`, from the beginning of its request until its response. */
export class HeldBody {
  /** Up to this size there was room when it was read on. */
  grantedBytes = 0
  /** The body can't be held: its reader drops it and releases what it holds. */
  onRefuse: () => void = () => {}
  private bytes = 0

  constructor (readonly statedBytes: number | null, private readonly listener: HeldBodyListener) {}

  get sizeBytes (): number {
    return this.bytes
  }

  /** Whether it may have to wait. */
  get isLarge (): boolean {
    return Math.max(this.bytes, this.statedBytes ?? 0) > SMALL_BODY_BYTES
  }

  /** Whether bodies wait for memory. */
  get othersWait (): boolean {
    return this.listener.othersWait()
  }

  /** Counts bytes that have arrived. False if the source must pause, unless the body was refused; `resume` is called once it may go on. */
  add (arrivedBytes: number, resume: () => void): boolean {
    this.bytes += arrivedBytes
    this.listener.resize(arrivedBytes)
    if (this.listener.hasRoom()) return true
    this.listener.wait(resume)
    return false
  }

  /** Goes on if there is room by now: what the owner holds for other things may have become less, which no body is told. */
  retry (): boolean {
    return this.listener.retry()
  }

  /** It has waited for so long until there was room, or until it was refused. */
  noteWait (waitMs: number): void {
    this.listener.noteWait(waitMs)
  }

  refuse (): void {
    this.onRefuse()
  }

  /** The body is complete, or the rest of it is dropped. */
  complete (): void {
    this.grantedBytes = 0
    this.listener.end()
  }

  /** The body is no longer needed. */
  release (): void {
    this.listener.resize(-this.bytes)
    this.bytes = 0
    this.listener.end()
  }
}

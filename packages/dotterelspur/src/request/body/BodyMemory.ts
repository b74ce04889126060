/** A body of up to this size never waits: it arrives in one read, and small requests must not wait for uploads. */
const SMALL_BODY_BYTES = 65_536
/** What a source may deliver after it has been resumed, until it is paused again. */
const READ_BYTES = 65_536

/** What the bodies are a part of, such as everything that callers make a process hold. */
export interface BodyOwner {
  readonly heldBytes: number
  /** A body must wait; closes what holds memory in vain. */
  makeRoom (): void
}

/**
 * The bytes of request bodies that a process holds: those that arrive, and those whose requests are under way. Beyond the limit, large bodies wait
 * while others are completed. The oldest of them reads on in any case, up to `reserveBytes` above the limit, so that bodies that have arrived in
 * part do not wait for each other. Load pattern: many uploads begin together, and each holds its body until its response.
 */
export class BodyMemory {
  private heldBytes = 0
  /** Bodies that are still arriving, in the order of their arrival. */
  private readonly arriving = new Set<HeldBody>()
  /** Bodies that wait, in the same order, and what resumes them. */
  private readonly waiting = new Map<HeldBody, () => void>()

  /**
   * @param limitBytes of the bodies, and of what their owner holds in all.
   * @param reserveBytes the largest body that is accepted now.
   */
  constructor (private readonly limitBytes: number, private readonly reserveBytes: () => number, private readonly owner: BodyOwner = { heldBytes: 0, makeRoom: () => {} }) {}

  get sizeBytes (): number {
    return this.heldBytes
  }

  get waitingBodies (): number {
    return this.waiting.size
  }

  /** @param onResize the body holds so many bytes more. */
  open (onResize: (changeBytes: number) => void = () => {}): HeldBody {
    const body: HeldBody = new HeldBody({
      resize: (changeBytes) => {
        this.heldBytes += changeBytes
        onResize(changeBytes)
      },
      hasRoom: () => {
        if (this.hasRoom(body)) return true
        this.owner.makeRoom()
        return this.hasRoom(body)
      },
      wait: (resume) => { this.waiting.set(body, resume) },
      retry: () => this.resumeIfRoom(body),
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

  private hasRoom (body: HeldBody): boolean {
    if (body.sizeBytes <= SMALL_BODY_BYTES || this.roomBytes > 0) return true
    return body === this.oldestLarge() && this.roomBytes + this.reserveBytes() > 0
  }

  private oldestLarge (): HeldBody | undefined {
    for (const body of this.arriving) if (body.sizeBytes > SMALL_BODY_BYTES) return body
    return undefined
  }

  private resumeIfRoom (body: HeldBody): boolean {
    const resume = this.waiting.get(body)
    if (resume === undefined || !this.hasRoom(body)) return false
    this.waiting.delete(body)
    resume()
    return true
  }

  private resumeWaiting (): void {
    let roomBytes = Math.max(READ_BYTES, this.roomBytes)
    for (const [body, resume] of this.waiting) {
      // Only one that waits further behind may be the oldest, which reads on without room.
      if (roomBytes <= 0 || !this.hasRoom(body)) continue
      this.waiting.delete(body)
      roomBytes -= READ_BYTES
      resume()
    }
  }
}

interface HeldBodyListener {
  resize (changeBytes: number): void
  hasRoom (): boolean
  wait (resume: () => void): void
  /** Resumes the body if it waits and there is room for it. */
  retry (): boolean
  /** The body no longer arrives, or is no longer held. */
  end (): void
}

/** One body of a `BodyMemory`, from the beginning of its request until its response. */
export class HeldBody {
  private bytes = 0

  constructor (private readonly listener: HeldBodyListener) {}

  get sizeBytes (): number {
    return this.bytes
  }

  /** Counts bytes that have arrived. False if the source must pause; `resume` is called once it may go on. */
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

  /** The body is complete, or the rest of it is dropped. */
  complete (): void {
    this.listener.end()
  }

  /** The body is no longer needed. */
  release (): void {
    this.listener.resize(-this.bytes)
    this.bytes = 0
    this.listener.end()
  }
}

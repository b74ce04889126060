import type { Clock } from '../process/Clock.js'

/** The connections to one service, such as a pool of an HTTP client. */
export interface ConnectionPool {
  /** Ends the connections once their calls are complete. */
  close (): Promise<void>
  /** Ends the connections and their calls. */
  destroy (): Promise<void>
}

/** Sends a call through a pool. A repeated call may ask for less than the first one, such as not to wait for changes. */
export type SendCall<Pool, Answer> = (pool: Pool, isRepeat: boolean) => Promise<Answer>

/**
 * A pool that is replaced by a new one when its connections no longer answer. Connections may fall silent without a reset, idle ones included:
 * a call that is sent again through the same pool is likely to meet the next silent connection.
 */
export class RenewablePool<Pool extends ConnectionPool> {
  private pool: Pool

  /** @param onRenewed called after each replacement. */
  constructor (private readonly clock: Clock, private readonly create: () => Pool, private readonly onRenewed: () => void = () => {}) {
    this.pool = create()
  }

  get current (): Pool {
    return this.pool
  }

  /** Replaces `suspect`, a pool through which a call got no answer; its other calls may still complete. */
  renew (suspect: Pool): void {
    if (this.replace(suspect, this.create)) suspect.close().catch(() => {})
  }

  /**
   * Sends a call that may be repeated. If its answer is overdue, it is sent again through new connections, and the first answer counts. Where
   * that is the second one, the service was there and the former connections are silent: they are ended.
   * @throws the error of the first call if both fail.
   */
  async read<Answer> (overdueMs: number, send: SendCall<Pool, Answer>): Promise<Answer> {
    const former = this.pool
    const first = send(former, false)
    if (await this.isSettledWithin(first, overdueMs)) return await this.repeatIfReplaced(first, former, send)
    const successor = this.pool === former ? this.create() : this.pool
    const repeated = send(successor, true)
    try {
      const { answer, isRepeat } = await Promise.any([first.then((answer) => ({ answer, isRepeat: false })), repeated.then((answer) => ({ answer, isRepeat: true }))])
      if (isRepeat && this.replace(former, () => successor)) former.destroy().catch(() => {})
      return answer
    } catch {
      this.renew(former)
      return await first
    } finally {
      if (successor !== this.pool) successor.close().catch(() => {})
    }
  }

  async destroy (): Promise<void> {
    await this.pool.destroy()
  }

  /** A replaced pool is destroyed together with its calls. */
  private async repeatIfReplaced<Answer> (first: Promise<Answer>, former: Pool, send: SendCall<Pool, Answer>): Promise<Answer> {
    try {
      return await first
    } catch (error) {
      if (this.pool === former) throw error
      return await send(this.pool, true)
    }
  }

  private replace (former: Pool, successor: () => Pool): boolean {
    if (this.pool !== former) return false
    this.pool = successor()
    this.onRenewed()
    return true
  }

  private async isSettledWithin (pending: Promise<unknown>, durationMs: number): Promise<boolean> {
    let isSettled = false
    await new Promise<void>((resolve) => {
      // After a held event loop the timer runs before an answer that is already there is read; a second timer runs after it.
      const cancel = this.clock.registerTimer(durationMs, () => { this.clock.registerTimer(0, resolve) })
      const settle = (): void => {
        isSettled = true
        cancel()
        resolve()
      }
      pending.then(settle, settle)
    })
    return isSettled
  }
}

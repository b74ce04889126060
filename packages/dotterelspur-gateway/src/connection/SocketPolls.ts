/** Requests that continue after one poll. With few of them in a turn, closes of callers and new connections are read soon. */
const MAX_PER_POLL = 8

/**
 * Lets requests continue only after the event loop has polled all sockets. In one turn, the loop reads a request and not yet the close
 * behind it; on a loop that is held, that close is as old as the hold.
 */
export class SocketPolls {
  /** Requests for which no whole poll has passed yet. */
  private entered: Array<() => void> = []
  private polled: Array<() => void> = []
  private isScheduled = false

  /** Resolves in the check phase of a turn, after a whole poll. */
  async afterPoll (): Promise<void> {
    await new Promise<void>((resolve) => {
      this.entered.push(resolve)
      this.schedule()
    })
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => { this.advance() })
  }

  private advance (): void {
    this.isScheduled = false
    const due = this.polled.splice(0, MAX_PER_POLL)
    this.polled.push(...this.entered.splice(0))
    if (this.polled.length > 0) this.schedule()
    for (const resolve of due) resolve()
  }
}

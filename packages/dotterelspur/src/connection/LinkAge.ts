/**
 * Bounds the age of what a peer sends over one ordered connection. An age that the sender states is right when it is sent; lost packets, a
 * full link or a process that is held add to it, and the sender does not know by how much. What arrives after a probe has been returned was
 * sent after the probe was.
 */
export class LinkAge {
  private sentSinceAtMs: number

  /** @param openedAtMs when the connection was opened, by this node's clock; nothing that arrives over it was sent before. */
  constructor (openedAtMs: number) {
    this.sentSinceAtMs = openedAtMs
  }

  /** Earliest time, by this node's clock, at which the peer can have sent what arrives now. */
  get sentSinceMs (): number {
    return this.sentSinceAtMs
  }

  /** Returns the payload of a probe that is sent now; the peer returns it unchanged, in order with its frames. */
  probe (nowMs: number): string {
    return String(Math.floor(nowMs))
  }

  /** Takes in a returned probe. A payload that is no time, or one that has not come yet, proves nothing. */
  noteReturned (payload: string, nowMs: number): void {
    const probedAtMs = payload === '' ? NaN : Number(payload)
    if (probedAtMs <= nowMs) this.sentSinceAtMs = Math.max(this.sentSinceAtMs, probedAtMs)
  }
}

import { FrameKind } from 'dotterelspur'

/** Number of frames of one kind in one direction, and their bytes including the WebSocket header. */
export interface FrameCount {
  readonly frames: number
  readonly bytes: number
}

/** Counters since the process started, keyed by the names of frame kinds and reasons. */
export interface MeshCounters {
  readonly sent: Readonly<Record<string, FrameCount>>
  readonly received: Readonly<Record<string, FrameCount>>
  /** Gossip frames that were not sent because the peer's queue was full. */
  readonly dropped: Readonly<Record<string, number>>
  /** Connections refused, by this node or by a peer. */
  readonly refused: Readonly<Record<string, number>>
  readonly closed: Readonly<Record<string, number>>
  readonly malformedFrames: number
  readonly handshakes: number
}

/** Current sizes, for capacity planning and alerts. */
export interface MeshSizes {
  readonly members: number
  readonly documents: number
  readonly evidenceLines: number
  readonly gossipLinks: number
  readonly callLinks: number
  readonly runningCalls: number
}

/** Collects the counters of one node's mesh. */
export class MeshMetrics {
  private readonly sent = new Map<string, FrameCount>()
  private readonly received = new Map<string, FrameCount>()
  private readonly dropped = new Map<string, number>()
  private readonly refused = new Map<string, number>()
  private readonly closed = new Map<string, number>()
  private malformed = 0
  private handshakes = 0

  countSent (kind: FrameKind, bytes: number): void {
    addFrame(this.sent, FrameKind[kind], bytes)
  }

  countReceived (kind: FrameKind, bytes: number): void {
    addFrame(this.received, FrameKind[kind], bytes)
  }

  countDropped (kind: FrameKind): void {
    addOne(this.dropped, FrameKind[kind])
  }

  countRefused (reason: string): void {
    addOne(this.refused, reason)
  }

  countClosed (reason: string): void {
    addOne(this.closed, reason)
  }

  countMalformed (): void {
    this.malformed += 1
  }

  countHandshake (): void {
    this.handshakes += 1
  }

  snapshot (): MeshCounters {
    return {
      sent: Object.fromEntries(this.sent),
      received: Object.fromEntries(this.received),
      dropped: Object.fromEntries(this.dropped),
      refused: Object.fromEntries(this.refused),
      closed: Object.fromEntries(this.closed),
      malformedFrames: this.malformed,
      handshakes: this.handshakes
    }
  }
}

function addFrame (counts: Map<string, FrameCount>, kind: string, bytes: number): void {
  const count = counts.get(kind)
  counts.set(kind, { frames: (count?.frames ?? 0) + 1, bytes: (count?.bytes ?? 0) + bytes })
}

function addOne (counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}

import {
  EndpointErrorKind, type DueOrder, type EndpointError, type EngineApi, type Clock, type VmId, type VmStatus
} from 'dotterelspur'
import type { FleetTiming } from './FleetTiming.js'

/** The lease under which orders are sent; checked immediately before each send. */
export interface OrderAuthority {
  readonly fencing: number
  /** Whether an order may be sent to this VM at this instant. */
  mayOrder (vm: VmId): boolean
  observeFencing (fencing: number): void
}

export interface OrderCounts {
  sent: number
  done: number
  failed: number
  fenced: number
  /** Not sent, since the lease didn't allow them at that instant. */
  withheld: number
}

interface SentOrder {
  readonly text: string
  readonly sentAtMs: number
}

/**
 * Sends orders, one at a time to each VM. The same order isn't sent again until its effect has had time to be observed.
 * The authority is checked in the same turn of the event loop that starts the request, with no `await` in between.
 */
export class OrderSender {
  readonly counts: OrderCounts = { sent: 0, done: 0, failed: 0, fenced: 0, withheld: 0 }
  private readonly inProgress = new Map<VmId, Promise<void>>()
  private readonly lastSent = new Map<VmId, SentOrder>()

  constructor (
    private readonly clock: Clock, private readonly engines: Pick<EngineApi, 'order'>, private readonly timing: FleetTiming,
    private readonly onStatus: (status: VmStatus, askedAtMs: number) => void
  ) {}

  send (due: DueOrder, authority: OrderAuthority): void {
    const text = JSON.stringify([authority.fencing, due.order])
    if (this.inProgress.has(due.vm) || this.wasSentRecently(due.vm, text)) return
    if (!authority.mayOrder(due.vm)) {
      this.counts.withheld += 1
      return
    }
    this.lastSent.set(due.vm, { text, sentAtMs: this.clock.nowMs() })
    const done = this.deliver(due, authority).finally(() => { this.inProgress.delete(due.vm) })
    this.inProgress.set(due.vm, done)
  }

  /** Resolves when no order is in progress; each ends at its timeout at the latest. */
  async settled (): Promise<void> {
    while (this.inProgress.size > 0) await Promise.allSettled([...this.inProgress.values()])
  }

  /** Discards the state of VMs that are no longer in any fabric domain of this node. */
  retain (vms: ReadonlySet<VmId>): void {
    for (const vm of this.lastSent.keys()) {
      if (!vms.has(vm)) this.lastSent.delete(vm)
    }
  }

  private wasSentRecently (vm: VmId, text: string): boolean {
    const last = this.lastSent.get(vm)
    return last !== undefined && last.text === text && this.clock.nowMs() - last.sentAtMs < this.timing.orderRetryMs
  }

  private async deliver (due: DueOrder, authority: OrderAuthority): Promise<void> {
    const askedAtMs = this.clock.nowMs()
    this.counts.sent += 1
    const result = await this.engines.order(due.address, due.order, authority.fencing, this.timing.orderTimeoutMs)
    if (result.ok) {
      this.counts.done += 1
      this.onStatus(result.value, askedAtMs)
    } else this.recordFailure(result.error, authority)
  }

  private recordFailure (error: EndpointError, authority: OrderAuthority): void {
    this.counts.failed += 1
    if (error.kind !== EndpointErrorKind.Fenced) return
    this.counts.fenced += 1
    authority.observeFencing(error.highestFencing)
  }
}

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { invariant, VmListState } from 'dotterelspur'
import type { VmId, VmRecord, VmRole, ServiceId } from 'dotterelspur'

/** Location and role of a VM; both never change. */
export interface VmPlace {
  readonly vm: VmId
  readonly role: VmRole
  readonly region: string
  readonly failureDomain: string
  /** Empty for service VMs. */
  readonly fabricDomain: string
  readonly service?: ServiceId
}

export enum VmPower {
  Up = 'up',
  Paused = 'paused',
  Dead = 'dead'
}

interface HeldRequest {
  /** Whether the sender has closed the connection. */
  isGone (): boolean
  release (): void
}

export type HostHandler = (host: VmHost, request: IncomingMessage, response: ServerResponse) => void

/**
 * Simulated process of a VM: a listener on loopback that can die, pause and restart as a new incarnation on another
 * port.
 */
export class VmHost {
  power = VmPower.Dead
  incarnation = 0
  leaving = false
  /** Time that this VM adds to each step of its group, in milliseconds. */
  straggleMs = 0
  private server: Server | undefined
  private sockets = new Set<Socket>()
  private address = ''
  private held: HeldRequest[] = []

  constructor (readonly place: VmPlace, private readonly handler: HostHandler, private readonly onChange: () => void) {}

  /** Starts the next incarnation. `onStarting` creates its in-memory state before the first request can arrive. */
  async start (onStarting: () => void): Promise<void> {
    invariant(this.power === VmPower.Dead, `${this.place.vm} runs already`)
    const server = createServer((request, response) => { this.handler(this, request, response) })
    server.keepAliveTimeout = 60_000
    server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
      socket.setNoDelay(true)
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, '127.0.0.1', resolve)
    })
    this.server = server
    this.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    this.incarnation += 1
    onStarting()
    this.leaving = false
    this.straggleMs = 0
    this.power = VmPower.Up
    this.onChange()
  }

  /** Ends the process at once: its connections close, and its in-memory state is lost. */
  kill (): void {
    if (this.power === VmPower.Dead) return
    this.power = VmPower.Dead
    this.server?.close()
    this.server = undefined
    for (const socket of this.sockets) socket.destroy()
    this.sockets = new Set()
    this.releaseBuffered()
    this.onChange()
  }

  /** Pauses the process: the kernel accepts connections, but nothing responds. */
  pause (): void {
    if (this.power !== VmPower.Up) return
    this.power = VmPower.Paused
  }

  resume (): void {
    if (this.power !== VmPower.Paused) return
    this.power = VmPower.Up
    this.releaseBuffered()
  }

  setLeaving (leaving: boolean): void {
    this.leaving = leaving
    this.onChange()
  }

  /**
   * Waits while the VM is paused. Requests received meanwhile run afterwards, as in a paused process whose kernel has
   * buffered them. Resolves with false if the process that received the request has died.
   */
  async gate (isGone: () => boolean = () => false): Promise<boolean> {
    const incarnation = this.incarnation
    while (this.power === VmPower.Paused) await new Promise<void>((resolve) => { this.held.push({ isGone, release: resolve }) })
    return this.power === VmPower.Up && this.incarnation === incarnation
  }

  /** Number of requests that wait until a paused VM resumes, and whose senders have not closed the connection. */
  get bufferedRequests (): number {
    return this.held.filter((request) => !request.isGone()).length
  }

  /** Its record in the platform's VM list; undefined while it is dead. */
  record (): VmRecord | undefined {
    if (this.power === VmPower.Dead) return undefined
    return {
      ...this.place,
      incarnation: this.incarnation,
      state: this.leaving ? VmListState.Leaving : VmListState.Live,
      address: this.address
    }
  }

  private releaseBuffered (): void {
    const held = this.held
    this.held = []
    for (const { release } of held) release()
  }
}

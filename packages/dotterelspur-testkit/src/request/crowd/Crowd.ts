import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { CrowdKind } from './CrowdKind.js'
import { ClientEnd, CROWD_PLANS, type ClientPlan, type CrowdTarget } from './crowdPlans.js'

/** A client whose data is not taken for this long has sent what it can. */
const BLOCKED_MS = 1_500
/** The accept queue of a listener is shorter than most crowds. */
const CONNECTS_AT_ONCE = 200
const CONNECT_MS = 10_000
/** Responses to what has been sent arrive meanwhile. */
const STAY_MS = 2_000

/** Clients on one listener that do not read their responses. They stay connected until `close`, unless their plan or the listener ends that. */
export class Crowd {
  private readonly sockets = new Set<Socket>()
  private connectedCount = 0

  private constructor (private readonly target: CrowdTarget) {}

  /** Resolves some time after each client has sent what it can. */
  static async start (kind: CrowdKind, target: CrowdTarget): Promise<Crowd> {
    const crowd = new Crowd(target)
    const { clients, client } = CROWD_PLANS[kind]
    const sent: Array<Promise<void>> = []
    for (let index = 0; index < clients; index += CONNECTS_AT_ONCE) {
      const indices = Array.from({ length: Math.min(CONNECTS_AT_ONCE, clients - index) }, (_unused, offset) => index + offset)
      const opened = await Promise.all(indices.map(async () => await crowd.open()))
      opened.forEach((socket, offset) => { if (socket !== null) sent.push(play(socket, client(target, index + offset))) })
    }
    await Promise.all(sent)
    await delay(STAY_MS)
    return crowd
  }

  /** How many clients were connected at any time. */
  get connected (): number {
    return this.connectedCount
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  /** Null if the listener does not take the connection. */
  private async open (): Promise<Socket | null> {
    const socket = connect(this.target.port, this.target.host)
    socket.pause()
    socket.on('error', () => { /* `close` follows. */ })
    this.sockets.add(socket)
    socket.once('close', () => { this.sockets.delete(socket) })
    try {
      await once(socket, 'connect', { signal: AbortSignal.timeout(CONNECT_MS) })
      this.connectedCount += 1
      return socket
    } catch {
      socket.destroy()
      return null
    }
  }
}

const ENDS: Readonly<Record<ClientEnd, (socket: Socket) => void>> = {
  [ClientEnd.Stay]: () => {},
  [ClientEnd.Close]: (socket) => { socket.end() },
  [ClientEnd.Reset]: (socket) => { socket.resetAndDestroy() }
}

async function play (socket: Socket, { pieces, end }: ClientPlan): Promise<void> {
  for (const piece of pieces()) {
    if (socket.destroyed) return
    if (!socket.write(piece, 'latin1') && !await isDrained(socket)) break
  }
  ENDS[end](socket)
}

async function isDrained (socket: Socket): Promise<boolean> {
  const blocked = new AbortController()
  const { signal } = blocked
  const drained = Promise.race([once(socket, 'drain', { signal }), once(socket, 'close', { signal })]).then(() => true, () => false)
  const waited = delay(BLOCKED_MS, false, { signal }).catch(() => false)
  const result = await Promise.race([drained, waited])
  blocked.abort()
  return result
}

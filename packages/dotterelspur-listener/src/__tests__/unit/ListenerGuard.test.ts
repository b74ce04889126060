import { once } from 'node:events'
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { ShedReason, type CallerLoadLimits } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { guardedConnection } from '../../connection/GuardedConnection.js'
import { ListenerGuard } from '../../process/ListenerGuard.js'

const MIB = 1_048_576
const POLL_MS = 10
const LIMITS: CallerLoadLimits = { heldBytes: 8 * MIB, connections: 100 }

/** A guarded server on loopback, and connections to it. */
class GuardedServer {
  private readonly sockets: Socket[] = []

  private constructor (readonly guard: ListenerGuard, readonly server: Server) {}

  static async start (handler: RequestListener, limits: Partial<CallerLoadLimits> = {}, prepare: (server: Server) => void = () => {}): Promise<GuardedServer> {
    const guard = new ListenerGuard({ ...LIMITS, ...limits }, new SystemClock())
    const server = createServer(handler)
    prepare(server)
    guard.register(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return new GuardedServer(guard, server)
  }

  async connect (): Promise<Socket> {
    const socket = connect((this.server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => { /* `close` follows. */ })
    this.sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.guard.close()
    this.server.close()
    this.server.closeAllConnections()
  }
}

async function until (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await delay(POLL_MS)
}

async function readAll (socket: Socket): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of socket) parts.push(part as Buffer)
  return Buffer.concat(parts).toString()
}

const get = (path: string, lines = ''): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n${lines}\r\n`

describe('A guarded listener', () => {
  let guarded: GuardedServer

  afterEach(() => { guarded.close() })

  it('answers requests that a caller sends ahead in their order, few at a time', async () => {
    let running = 0
    let mostRunning = 0
    guarded = await GuardedServer.start((request, response) => {
      mostRunning = Math.max(mostRunning, ++running)
      setTimeout(() => {
        running -= 1
        response.end(`<${request.url}>`)
      }, 2)
    })
    const socket = await guarded.connect()
    const paths = Array.from({ length: 100 }, (_unused, index) => `/${index}`)
    socket.write(paths.map((path, index) => get(path, index === 99 ? 'Connection: close\r\n' : '')).join(''))
    expect((await readAll(socket)).match(/<[^>]*>/g)).to.deep.equal(paths.map((path) => `<${path}>`))
    expect(mostRunning).to.be.at.most(8)
    expect([guarded.guard.load.connections, guarded.guard.load.heldBytes]).to.deep.equal([0, 0])
  })

  // Guards against a process that ends because each of many connections has thousands of requests that wait.
  it('reads no further while a caller does not read its responses', async () => {
    let handled = 0
    guarded = await GuardedServer.start((_request, response) => {
      handled += 1
      response.end('x'.repeat(64_000))
    })
    const socket = await guarded.connect()
    socket.pause()
    socket.write(get('/').repeat(20_000))
    await until(() => handled >= 8)
    await delay(300)
    expect(handled).to.be.lessThan(2_000)
    expect(guarded.guard.load.heldBytes).to.be.lessThan(3 * MIB)
  })

  it('receives bodies whole, in chunks of any size', async () => {
    guarded = await GuardedServer.start((request, response) => {
      let size = 0
      request.on('data', (chunk: Buffer) => { size += chunk.length })
      request.on('end', () => { response.end(`${size} bytes`) })
    })
    for (const chunkBytes of [1, 1_000, 65_536]) {
      const socket = await guarded.connect()
      const chunks = Math.ceil(200_000 / chunkBytes)
      socket.write('POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n')
      socket.write(`${`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`.repeat(chunks)}0\r\n\r\n`)
      expect(await readAll(socket)).to.include(`${chunks * chunkBytes} bytes`)
    }
  })

  // Guards against a connection that is read and dropped without end after its request was refused.
  it('closes a connection that goes on with a body after its response', async () => {
    guarded = await GuardedServer.start((_request, response) => { response.writeHead(413).end() })
    const socket = await guarded.connect()
    socket.resume()
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
    const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`
    while (!socket.closed && socket.bytesWritten < 200 * MIB) {
      if (!socket.write(chunk)) await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => { /* The connection was reset. */ })
    }
    expect(guarded.guard.load.shedCount(ShedReason.Work)).to.equal(1)
    expect(socket.bytesWritten).to.be.lessThan(100 * MIB)
  })

  describe('that refuses a body before it is complete', () => {
    const BODY_BYTES = 4 * MIB

    /** Sends a body whole, and reads afterwards. */
    async function upload (connection: string): Promise<string> {
      const socket = await guarded.connect()
      socket.pause()
      socket.write(`POST / HTTP/1.1\r\nHost: a\r\nConnection: ${connection}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`)
      const sent = new Promise<string | null>((resolve) => { socket.write(Buffer.alloc(BODY_BYTES), (error) => { resolve(error?.message ?? null) }) })
      return await sent ?? await readHead(socket)
    }

    async function readHead (socket: Socket): Promise<string> {
      return await new Promise((resolve) => {
        socket.once('data', (data: Buffer) => { resolve(data.toString().slice(0, 12)) })
        socket.once('error', (error) => { resolve(error.message) })
        socket.once('close', () => { resolve('closed') })
        socket.resume()
      })
    }

    // Guards against refusals that a reset of the connection takes with it: it was closed with bytes unread.
    for (const connection of ['close', 'keep-alive']) {
      it(`sends its response to a caller that sends the whole body first, with Connection: ${connection}`, async () => {
        guarded = await GuardedServer.start((request, response) => {
          request.once('data', () => {
            request.pause()
            response.writeHead(503, { 'content-length': 0 }).end()
            request.resume()
          })
        })
        expect(await Promise.all(Array.from({ length: 20 }, async () => await upload(connection)))).to.deep.equal(Array.from({ length: 20 }, () => 'HTTP/1.1 503'))
      })
    }

    it('closes the connection once the caller closes its side', async () => {
      guarded = await GuardedServer.start((_request, response) => { response.writeHead(503, { 'content-length': 0 }).end() })
      const socket = await guarded.connect()
      socket.write('POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100\r\n\r\nhalf')
      expect(await readAll(socket)).to.include('503')
      await until(() => guarded.guard.load.connections === 0)
    })

    // Guards against connections that are held for as long as a caller likes after its response.
    it('closes the connection of a caller that does not close its side', async () => {
      guarded = await GuardedServer.start((_request, response) => { response.writeHead(503, { 'content-length': 0 }).end() })
      const socket = connect({ port: (guarded.server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
      socket.on('error', () => { /* `close` follows. */ })
      socket.write('POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100\r\n\r\nhalf')
      await once(socket.resume(), 'end')
      expect(guarded.guard.load.connections).to.equal(1)
      await until(() => guarded.guard.load.connections === 0)
      socket.destroy()
    }).timeout(60_000)
  })

  it('passes an end of the connection on to the request that waits', async () => {
    const closed: string[] = []
    guarded = await GuardedServer.start((request) => {
      request.socket.on('end', () => { closed.push('end') })
      request.on('close', () => { closed.push('close') })
    })
    const socket = await guarded.connect()
    socket.write(get('/'))
    await until(() => guarded.guard.load.heldBytes > 20_000)
    socket.end()
    await until(() => closed.length === 2)
    expect(closed).to.deep.equal(['end', 'close'])
    await until(() => guarded.guard.load.connections === 0)
  })

  // Guards against requests that run for callers that have left: their end arrives with the request, or while the node has no time to parse.
  it('passes on an end that arrives with the request, also beside other work', async () => {
    let ended = 0
    guarded = await GuardedServer.start(({ socket }) => {
      socket.on('end', () => { ended += 1 })
      const busyUntilMs = performance.now() + 10
      while (performance.now() < busyUntilMs) { /* Takes all the time that there is for parsing. */ }
    })
    const callers = await Promise.all(Array.from({ length: 20 }, async () => await guarded.connect()))
    for (const caller of callers) caller.end(get('/'))
    await until(() => ended === callers.length)
  })

  it('closes a connection whose caller stops inside a body, and none whose response is still to come', async () => {
    guarded = await GuardedServer.start(() => { /* The response is still to come. */ })
    guarded.guard.stallMs = 500
    const [stopped, waiting] = [await guarded.connect(), await guarded.connect()]
    waiting.write(get('/'))
    stopped.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf')
    await once(stopped.resume(), 'close')
    expect(guarded.guard.load.shedCount(ShedReason.Stalled)).to.equal(1)
    expect(waiting.destroyed).to.equal(false)
  })

  // Guards against uploads that are closed as stalled after this process itself has left them unread.
  it('closes no connection whose body it has paused, and gives its caller time from when it reads on', async () => {
    let paused: IncomingMessage | null = null
    guarded = await GuardedServer.start((request, response) => {
      request.once('data', () => { paused = request.pause() })
      request.on('end', () => { response.end('whole') })
    })
    guarded.guard.stallMs = 500
    const socket = await guarded.connect()
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100\r\n\r\nhalf')
    await until(() => paused !== null)
    await delay(2_500)
    expect([socket.destroyed, guarded.guard.load.shedTotal]).to.deep.equal([false, 0])
    paused!.resume()
    socket.write('x'.repeat(96))
    expect(await readAll(socket)).to.include('whole')
  })

  it('takes the connection that comes last, and closes one that has no request', async () => {
    guarded = await GuardedServer.start((_request, response) => { response.end('served') }, { connections: 3 })
    const silent = [await guarded.connect(), await guarded.connect(), await guarded.connect()]
    for (const socket of silent) socket.resume()
    const caller = await guarded.connect()
    caller.write(get('/', 'Connection: close\r\n'))
    expect(await readAll(caller)).to.include('served')
    await until(() => silent[0]!.closed)
    expect(guarded.guard.load.shedCount(ShedReason.Connections)).to.equal(1)
  })

  // Guards against links between nodes that give way to callers: after an upgrade there are no requests any more.
  it('keeps upgraded connections, and passes their bytes on', async () => {
    guarded = await GuardedServer.start(() => {}, { connections: 1 }, (server) => {
      server.on('upgrade', (_request: IncomingMessage, socket: Socket) => {
        socket.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: echo\r\nConnection: Upgrade\r\n\r\n')
        socket.pipe(socket)
      })
    })
    const upgraded = await guarded.connect()
    upgraded.write(get('/', 'Upgrade: echo\r\nConnection: Upgrade\r\n'))
    await once(upgraded, 'data')
    const other = await guarded.connect()
    await once(other.resume(), 'close')
    upgraded.write('hello')
    const [echo] = await once(upgraded, 'data') as [Buffer]
    expect(echo.toString()).to.equal('hello')
  })

  // Guards against links and kept connections that are closed in a backlog because of all the work since they were opened.
  it('forgets the time that former requests took', async () => {
    let spentMs = Infinity
    guarded = await GuardedServer.start(({ socket }, response) => {
      const busyUntilMs = performance.now() + 5
      while (performance.now() < busyUntilMs) { /* As a request that takes some time. */ }
      spentMs = guardedConnection(socket)!.spentMs
      response.end()
    })
    const socket = await guarded.connect()
    for (let index = 0; index < 30; index++) {
      socket.write(get('/'))
      await once(socket, 'data')
    }
    expect(spentMs).to.be.lessThan(50)
  })

  it('stands in for the socket of requests', async () => {
    const seen: unknown[] = []
    guarded = await GuardedServer.start(({ socket }: IncomingMessage, response: ServerResponse) => {
      seen.push(guardedConnection(socket) !== null, socket.remoteAddress, socket.bytesRead > 0)
      response.end()
    })
    const socket = await guarded.connect()
    socket.write(get('/', 'Connection: close\r\n'))
    await readAll(socket)
    expect(seen).to.deep.equal([true, '127.0.0.1', true])
  })
})

import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Dispatcher } from 'undici'
import { ExchangeEnd } from 'dotterelspur'
import { EndpointChannels } from '../../connection/EndpointChannels.js'
import type { ResponseHeaders, WireFormat } from '../../process/GatewayPorts.js'
import { EndpointCall, type BufferedResponse } from '../../request/EndpointCall.js'
import { ResponseMemory } from '../../request/ResponseMemory.js'

const REQUEST_ID = 'request-1'
const OTHER_ID = 'request-0'

const wire: Pick<WireFormat, 'readResponseHeaders'> = {
  readResponseHeaders: (_status, headers): ResponseHeaders => ({
    requestId: typeof headers['x-id'] === 'string' ? headers['x-id'] : null,
    notExecuted: headers['x-not-executed'] !== undefined,
    load: null,
    lostMember: null,
    backpressure: null
  })
}

interface CallResult {
  readonly end: ExchangeEnd
  readonly body: string | null
}

/** Runs one call against a server that handles the raw connection. */
async function callServer (respond: (socket: Socket, requests: number) => void, calls = 1, method: Dispatcher.HttpMethod = 'GET'): Promise<CallResult[]> {
  let requests = 0
  const server: Server = createServer((socket) => {
    socket.on('error', () => { /* The client may reset connections. */ })
    socket.on('data', () => { respond(socket, ++requests) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const channels = new EndpointChannels()
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const results: CallResult[] = []
  for (let index = 0; index < calls; index++) results.push(await callOnce(channels, address, method))
  channels.close()
  await new Promise((resolve) => { server.close(resolve) })
  return results
}

async function callOnce (channels: EndpointChannels, address: string, method: Dispatcher.HttpMethod = 'GET'): Promise<CallResult> {
  const channel = channels.acquire('endpoint', address)
  return await new Promise((resolve) => {
    const call = new EndpointCall({
      requestId: REQUEST_ID,
      method,
      wire: wire as WireFormat,
      channel,
      memory: new ResponseMemory(),
      sink: null,
      onHead: () => {},
      onEnd: (end, held: BufferedResponse | null) => {
        channels.release('endpoint', channel)
        resolve({ end, body: held?.body.toString() ?? null })
      }
    })
    channel.dispatch({ path: '/', method }, call)
  })
}

function responseText (status: string, headers: readonly string[], body: string): string {
  return [`HTTP/1.1 ${status}`, ...headers, '', body].join('\r\n')
}

const OWN = `X-Id: ${REQUEST_ID}`
const FOREIGN = `X-Id: ${OTHER_ID}`

interface ResponseCase {
  readonly name: string
  readonly respond: (socket: Socket) => void
  readonly end: ExchangeEnd
  readonly body?: string
}

const CASES: readonly ResponseCase[] = [
  { name: 'a complete response with Content-Length', respond: (socket) => socket.write(responseText('200 OK', [OWN, 'Content-Length: 4'], 'full')), end: ExchangeEnd.Answered, body: 'full' },
  { name: 'a response that ends with its connection', respond: (socket) => socket.end(responseText('200 OK', [OWN], 'full')), end: ExchangeEnd.Answered, body: 'full' },
  { name: 'a server error', respond: (socket) => socket.write(responseText('500 Oops', [OWN, 'Content-Length: 0'], '')), end: ExchangeEnd.Failed },
  { name: 'a refusal with the not-executed header', respond: (socket) => socket.write(responseText('503 Full', [OWN, 'X-Not-Executed: 1', 'Content-Length: 0'], '')), end: ExchangeEnd.Rejected },
  { name: 'a 421 from another endpoint at the address', respond: (socket) => socket.write(responseText('421 Misdirected', [OWN, 'Content-Length: 0'], '')), end: ExchangeEnd.Misdirected },
  { name: 'a response to another request', respond: (socket) => socket.write(responseText('200 OK', [FOREIGN, 'Content-Length: 4'], 'full')), end: ExchangeEnd.Foreign },
  { name: 'a response without a request id', respond: (socket) => socket.write(responseText('200 OK', ['Content-Length: 4'], 'full')), end: ExchangeEnd.Foreign },
  { name: 'a refusal of another request', respond: (socket) => socket.write(responseText('503 Full', [FOREIGN, 'X-Not-Executed: 1', 'Content-Length: 0'], '')), end: ExchangeEnd.Foreign },
  { name: 'bytes that are not HTTP', respond: (socket) => socket.write('garbage\r\n\r\n'), end: ExchangeEnd.Garbled },
  { name: 'a close before the response', respond: (socket) => socket.end(), end: ExchangeEnd.BrokenOff },
  { name: 'a close before the end of Content-Length', respond: (socket) => socket.end(responseText('200 OK', [OWN, 'Content-Length: 9'], 'half')), end: ExchangeEnd.BrokenOff },
  { name: 'a close before the last chunk', respond: (socket) => socket.end(responseText('200 OK', [OWN, 'Transfer-Encoding: chunked'], '4\r\nhalf\r\n')), end: ExchangeEnd.BrokenOff }
]

describe('EndpointCall', () => {
  for (const { name, respond, end, body } of CASES) {
    it(`ends as ${end} on ${name}`, async () => {
      const [result] = await callServer(respond)
      expect(result?.end).to.equal(end)
      if (body !== undefined) expect(result?.body).to.equal(body)
    })
  }

  it('detects a reset in the middle of a response without stated length', async () => {
    // Guards against a success with a truncated body: an endpoint crashes while sending a response that ends with its
    // connection, which is reset. undici takes the reset of a connection that won't be kept alive for the end of the response.
    const [result] = await callServer((socket) => {
      socket.write(responseText('200 OK', [OWN, 'Connection: close'], 'half'), () => { setTimeout(() => { socket.resetAndDestroy() }, 30) })
    })
    expect(result?.end).to.equal(ExchangeEnd.BrokenOff)
  })

  it('detects a reset that arrives together with the last bytes', async () => {
    // As above, but the bytes and the reset are read in one step: the event loop then reports an ordinary end instead of an error.
    const [result] = await callServer((socket) => {
      socket.write(responseText('200 OK', [OWN, 'Connection: close'], 'half'))
      socket.resetAndDestroy()
    })
    expect(result?.end).to.equal(ExchangeEnd.BrokenOff)
  })

  it('detects a close before the last chunk on a connection that would not be kept alive', async () => {
    // Guards against a success with a truncated body: an endpoint that has announced `Connection: close` crashes between two
    // chunks. The close of such a connection ends the response only if it is not chunked.
    const [result] = await callServer((socket) => {
      socket.end(responseText('200 OK', [OWN, 'Connection: close', 'Transfer-Encoding: chunked'], '4\r\nhalf\r\n'))
    })
    expect(result?.end).to.equal(ExchangeEnd.Garbled)
  })

  it('accepts a chunked response whose last chunk arrived before the close', async () => {
    const [result] = await callServer((socket) => {
      socket.end(responseText('200 OK', [OWN, 'Connection: close', 'Transfer-Encoding: chunked'], '4\r\nfull\r\n0\r\n\r\n'))
    })
    expect(result).to.deep.equal({ end: ExchangeEnd.Answered, body: 'full' })
  })

  // Guards against a success that is taken for a broken exchange: a response that has no body needs no length, and its connection stays open.
  for (const [method, status] of [['GET', '204 No Content'], ['GET', '304 Not Modified'], ['HEAD', '200 OK']] as const) {
    it(`ends as answered on a ${status} to ${method} without a stated length`, async () => {
      const [result] = await callServer((socket) => socket.write(responseText(status, [OWN], '')), 1, method)
      expect(result).to.deep.equal({ end: ExchangeEnd.Answered, body: '' })
    })
  }

  it('does not deliver a surplus response to the next request', async () => {
    // Guards against a caller that receives another caller's response: an endpoint sends two responses to one request, and the
    // second is read from the kept-alive connection as the response to the next request.
    const results = await callServer((socket, requests) => {
      if (requests === 1) socket.write(responseText('200 OK', [OWN, 'Content-Length: 5'], 'first') + responseText('200 OK', [FOREIGN, 'Content-Length: 5'], 'extra'))
      else socket.write(responseText('200 OK', [OWN, 'Content-Length: 6'], 'second'))
    }, 2)
    expect(results[1]?.body ?? null).not.to.equal('extra')
    expect(results[1]?.end).to.equal(ExchangeEnd.Answered)
  })

  it('reports that nothing was sent when the connection is refused', async () => {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    await new Promise((resolve) => { server.close(resolve) })
    const channels = new EndpointChannels()
    const result = await callOnce(channels, `127.0.0.1:${port}`)
    channels.close()
    expect(result.end).to.equal(ExchangeEnd.NotConnected)
  })
})

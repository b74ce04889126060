import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { ExchangeEnd } from 'dotterelspur'
import { EndpointChannels } from '../../connection/EndpointChannels.js'
import type { ResponseHeaders, WireFormat } from '../../process/GatewayPorts.js'
import { EndpointCall, type HeldAnswer } from '../../request/EndpointCall.js'

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
async function callServer (answer: (socket: Socket, requests: number) => void, calls = 1): Promise<CallResult[]> {
  let requests = 0
  const server: Server = createServer((socket) => {
    socket.on('error', () => { /* The client closes channels that it can't trust. */ })
    socket.on('data', () => { answer(socket, ++requests) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const channels = new EndpointChannels()
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const results: CallResult[] = []
  for (let index = 0; index < calls; index++) results.push(await callOnce(channels, address))
  channels.close()
  await new Promise((resolve) => { server.close(resolve) })
  return results
}

async function callOnce (channels: EndpointChannels, address: string): Promise<CallResult> {
  const channel = channels.acquire('endpoint', address)
  return await new Promise((resolve) => {
    const call = new EndpointCall({
      requestId: REQUEST_ID,
      wire: wire as WireFormat,
      channel,
      sink: null,
      onProgress: () => {},
      onEnd: (end, held: HeldAnswer | null) => {
        channels.release('endpoint', channel)
        resolve({ end, body: held?.body.toString() ?? null })
      }
    })
    channel.dispatch({ path: '/', method: 'GET' }, call)
  })
}

function answerText (status: string, headers: readonly string[], body: string): string {
  return [`HTTP/1.1 ${status}`, ...headers, '', body].join('\r\n')
}

const OWN = `X-Id: ${REQUEST_ID}`
const FOREIGN = `X-Id: ${OTHER_ID}`

interface FaultCase {
  readonly name: string
  readonly answer: (socket: Socket) => void
  readonly end: ExchangeEnd
  readonly body?: string
}

const CASES: readonly FaultCase[] = [
  { name: 'a whole answer with a length', answer: (socket) => socket.write(answerText('200 OK', [OWN, 'Content-Length: 4'], 'full')), end: ExchangeEnd.Answered, body: 'full' },
  { name: 'an answer that ends with its channel', answer: (socket) => socket.end(answerText('200 OK', [OWN], 'full')), end: ExchangeEnd.Answered, body: 'full' },
  { name: 'a server error', answer: (socket) => socket.write(answerText('500 Oops', [OWN, 'Content-Length: 0'], '')), end: ExchangeEnd.Failed },
  { name: 'a refusal that declares itself not executed', answer: (socket) => socket.write(answerText('503 Full', [OWN, 'X-Not-Executed: 1', 'Content-Length: 0'], '')), end: ExchangeEnd.Rejected },
  { name: 'another endpoint at the address', answer: (socket) => socket.write(answerText('421 Misdirected', [OWN, 'Content-Length: 0'], '')), end: ExchangeEnd.Misdirected },
  { name: 'an answer to another request', answer: (socket) => socket.write(answerText('200 OK', [FOREIGN, 'Content-Length: 4'], 'full')), end: ExchangeEnd.Foreign },
  { name: 'an answer without an id', answer: (socket) => socket.write(answerText('200 OK', ['Content-Length: 4'], 'full')), end: ExchangeEnd.Foreign },
  { name: 'a refusal of another request', answer: (socket) => socket.write(answerText('503 Full', [FOREIGN, 'X-Not-Executed: 1', 'Content-Length: 0'], '')), end: ExchangeEnd.Foreign },
  { name: 'bytes that are no answer', answer: (socket) => socket.write('garbage\r\n\r\n'), end: ExchangeEnd.Garbled },
  { name: 'a close before the answer', answer: (socket) => socket.end(), end: ExchangeEnd.BrokenOff },
  { name: 'a close before the stated length', answer: (socket) => socket.end(answerText('200 OK', [OWN, 'Content-Length: 9'], 'half')), end: ExchangeEnd.BrokenOff },
  { name: 'a close before the last chunk', answer: (socket) => socket.end(answerText('200 OK', [OWN, 'Transfer-Encoding: chunked'], '4\r\nhalf\r\n')), end: ExchangeEnd.BrokenOff }
]

describe('EndpointCall', () => {
  for (const { name, answer, end, body } of CASES) {
    it(`ends as ${end} on ${name}`, async () => {
      const [result] = await callServer(answer)
      expect(result?.end).to.equal(end)
      if (body !== undefined) expect(result?.body).to.equal(body)
    })
  }

  it('takes a reset in the middle of an answer without length for a break', async () => {
    // Symptom: a caller gets a success with half a body. Sequence: an endpoint begins an answer that has no length
    // and ends with its channel, then crashes, and the channel is reset. Cause: the client library takes a reset
    // of a channel that won't be kept for the end of the answer.
    const [result] = await callServer((socket) => {
      socket.write(answerText('200 OK', [OWN, 'Connection: close'], 'half'), () => { setTimeout(() => { socket.resetAndDestroy() }, 30) })
    })
    expect(result?.end).to.equal(ExchangeEnd.BrokenOff)
  })

  it('takes a reset that comes together with the last bytes for a break', async () => {
    // Symptom: a caller gets a success with half a body. Sequence: as above, but the bytes and the reset are read in
    // one step. Cause: the event loop then reports an ordinary end, and the error is never seen.
    const [result] = await callServer((socket) => {
      socket.write(answerText('200 OK', [OWN, 'Connection: close'], 'half'))
      socket.resetAndDestroy()
    })
    expect(result?.end).to.equal(ExchangeEnd.BrokenOff)
  })

  it('takes a close before the last chunk for a break, also where the channel would not be kept', async () => {
    // Symptom: a caller gets a success with half a body. Sequence: an endpoint that is about to close its channel
    // crashes between two chunks. Cause: the end of such a channel is the end of the answer only without chunks.
    const [result] = await callServer((socket) => {
      socket.end(answerText('200 OK', [OWN, 'Connection: close', 'Transfer-Encoding: chunked'], '4\r\nhalf\r\n'))
    })
    expect(result?.end).to.equal(ExchangeEnd.Garbled)
  })

  it('takes chunks whole when the last one came before the close', async () => {
    const [result] = await callServer((socket) => {
      socket.end(answerText('200 OK', [OWN, 'Connection: close', 'Transfer-Encoding: chunked'], '4\r\nfull\r\n0\r\n\r\n'))
    })
    expect(result).to.deep.equal({ end: ExchangeEnd.Answered, body: 'full' })
  })

  it('does not give a second answer to the next request', async () => {
    // Symptom: a caller gets another caller's answer. Sequence: an endpoint sends two answers to one request; the
    // second lies on the kept channel when the next request goes out. Cause: answers carry no place of their own.
    const results = await callServer((socket, requests) => {
      if (requests === 1) socket.write(answerText('200 OK', [OWN, 'Content-Length: 5'], 'first') + answerText('200 OK', [FOREIGN, 'Content-Length: 5'], 'extra'))
      else socket.write(answerText('200 OK', [OWN, 'Content-Length: 6'], 'second'))
    }, 2)
    expect(results[1]?.body ?? null).not.to.equal('extra')
    expect(results[1]?.end).to.equal(ExchangeEnd.Answered)
  })

  it('proves that nothing was sent when nobody listens', async () => {
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

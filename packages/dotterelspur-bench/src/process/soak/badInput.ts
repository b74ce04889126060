import { connect } from 'node:net'
import { pick } from 'dotterelspur'
import type { Random } from 'dotterelspur'

const LONG_LENGTH = 70_000
const NOISE_LENGTH = 400
const BYTE_RANGE = 256
const WAIT_MS = 400

/** Malformed beginnings of requests, each with one error. */
const SHAPES: ReadonlyArray<(random: Random) => string | Buffer> = [
  (random) => Buffer.from(Array.from({ length: NOISE_LENGTH }, () => random.integer(BYTE_RANGE))),
  () => 'GET / HTTP/9.9\r\n\r\n',
  () => `GET /${'a'.repeat(LONG_LENGTH)} HTTP/1.1\r\nhost: a\r\n\r\n`,
  () => `GET /v1/entries HTTP/1.1\r\nhost: a\r\n${'x: y\r\n'.repeat(LONG_LENGTH / 10)}\r\n`,
  () => `GET /v1/entries HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(LONG_LENGTH)}\r\n\r\n`,
  () => 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n',
  () => 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  () => 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 999999999\r\n\r\n{',
  () => 'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  () => `PUT /admin/teams/${'%00'.repeat(20)}/settings HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n[]`,
  () => `POST /services/../../etc HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${'z'.repeat(5_000)}\r\ncontent-length: 0\r\n\r\n`,
  () => 'GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\u0081\u007f\u00ff\u00ff\u00ff\u00ff'
]

/** Draws malformed input, the same for the same random source. */
export function drawBadInput (random: Random): string | Buffer {
  return pick(random, SHAPES)!(random)
}

/** Sends bytes to a listener, and waits briefly for its reaction. */
export async function sendBadInput (url: string, bytes: string | Buffer): Promise<void> {
  const { hostname, port } = new URL(url)
  await new Promise<void>((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) })
    const timer = setTimeout(() => { socket.destroy() }, WAIT_MS)
    socket.on('error', () => {})
    socket.once('close', () => {
      clearTimeout(timer)
      resolve()
    })
    socket.on('data', () => {})
    socket.write(bytes)
  })
}

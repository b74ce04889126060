import { Agent, request as httpRequest } from 'node:http'

/** How an attempt of a consumer ended. */
export const End = { Answered: 'answered', Closed: 'closed', GivenUp: 'given-up' }

/** A consumer that keeps channels to the nodes open, sends an attempt at a time with an id of its own, and gives up at its time budget. */
export class Consumer {
  static #attempts = 0
  #agent = new Agent({ keepAlive: true })

  constructor (name, parts) {
    this.name = name
    this.parts = parts
  }

  close () {
    this.#agent.destroy()
  }

  /** @param call `address`, `method`, `host`, `path`, `headers`, `body`, `deadlineMs`. */
  async send ({ address, method, host, path, headers = {}, body = '', deadlineMs }) {
    const attempt = `${this.name}-${++Consumer.#attempts}`
    const [hostname, port] = address.split(':')
    const { record } = this.parts
    record.write('sent', { attempt, to: address, method, path })
    const sentAtMs = performance.now()
    const result = await new Promise((resolve) => {
      const chunks = []
      let status = null
      let responseHeaders = {}
      const done = (end) => {
        clearTimeout(timer)
        resolve({ attempt, end, status, headers: responseHeaders, body: Buffer.concat(chunks).toString() })
      }
      const request = httpRequest({ agent: this.#agent, hostname, port, method, path, headers: { host, 'dotterelspur-attempt-id': attempt, 'dotterelspur-deadline-ms': String(deadlineMs), ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }), ...headers } }, (response) => {
        status = response.statusCode
        responseHeaders = response.headers
        response.on('data', (chunk) => { chunks.push(chunk) })
        response.on('end', () => { done(response.complete ? End.Answered : End.Closed) })
        response.on('error', () => { done(End.Closed) })
        response.on('close', () => { done(End.Closed) })
      })
      const timer = setTimeout(() => {
        done(End.GivenUp)
        request.destroy()
      }, deadlineMs)
      request.on('error', () => { done(End.Closed) })
      request.end(body)
    })
    const { end, status, body: text } = result
    record.write('ended', { attempt, end, status, afterMs: Math.round(performance.now() - sentAtMs), ...(status !== null && status >= 300 ? { body: text.slice(0, 120) } : { bytes: text.length }) })
    return { ...result, tookMs: performance.now() - sentAtMs }
  }
}

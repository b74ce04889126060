import { Agent, request } from 'node:http'
import { HOST, KEY } from './Deployment.mjs'

let attempts = 0

export function nextAttempt () {
  attempts += 1
  return attempts.toString(16).padStart(16, '0')
}

/** A consumer that sends one request at a time to one machine, on a channel that it keeps. */
export class Consumer {
  constructor (node, record) {
    this.node = node
    this.record = record
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
  }

  /** Resolves with the status of the answer, or null where the channel was closed or no answer came within the time budget. */
  async send ({ method = 'GET', path, deadlineMs, body = null }) {
    const attempt = nextAttempt()
    const { record, node, agent } = this
    return await new Promise((resolve) => {
      const sent = request({
        ...node.callers,
        agent,
        method,
        path,
        headers: { host: HOST, 'dotterelspur-attempt-id': attempt, 'dotterelspur-deadline-ms': String(deadlineMs), authorization: `Bearer ${KEY}`, ...body === null ? {} : { 'content-length': body.length } }
      })
      const timer = setTimeout(() => { end('gave up', null) }, deadlineMs)
      let isOver = false
      const end = (event, status) => {
        if (isOver) return
        isOver = true
        clearTimeout(timer)
        record.write(event, { attempt, node: node.name, kept: sent.reusedSocket, status: status ?? undefined })
        if (event === 'gave up') sent.destroy()
        resolve(status)
      }
      record.write('sent', { attempt, node: node.name, method, path })
      sent.on('response', (response) => {
        const chunks = []
        response.on('data', (chunk) => { chunks.push(chunk) })
        response.on('end', () => { end(response.complete ? 'answered' : 'closed without an answer', response.complete ? response.statusCode : null) })
        response.on('error', () => { end('closed without an answer', null) })
      })
      sent.on('error', () => { end('closed without an answer', null) })
      sent.end(body ?? undefined)
    })
  }

  close () {
    this.agent.destroy()
  }
}

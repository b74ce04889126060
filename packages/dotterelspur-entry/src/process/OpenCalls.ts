import type { FastifyInstance } from 'fastify'

/**
 * Counts callers' open requests, from the receipt of the headers to the end of the response.
 *
 * A draining node must wait for more than the requests that it runs: it also forwards requests to the homes of their ids and
 * streams the answers back. If it closed as soon as its own runs had finished, it would cut those answers off.
 */
export class OpenCalls {
  private open = 0
  private readonly idleListeners = new Set<() => void>()

  get count (): number {
    return this.open
  }

  /** Counts the requests that a listener receives from now on. */
  watch (app: FastifyInstance): void {
    app.addHook('onRequest', (_request, reply, done) => {
      this.open += 1
      reply.raw.once('close', () => { this.noteClosed() })
      done()
    })
  }

  /** Resolves once no request is open. */
  idle (): Promise<void> {
    if (this.open === 0) return Promise.resolve()
    return new Promise((resolve) => { this.idleListeners.add(resolve) })
  }

  private noteClosed (): void {
    this.open -= 1
    if (this.open > 0) return
    const listeners = [...this.idleListeners]
    this.idleListeners.clear()
    for (const listener of listeners) listener()
  }
}

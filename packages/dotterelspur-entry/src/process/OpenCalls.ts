import type { FastifyInstance } from 'fastify'

/**
 * Counts callers' requests from the first byte of their headers to the end of their answers.
 *
 * A node that drains must wait for more than the requests that it runs: it also passes requests on to the homes
 * of their ids and streams the answers back. Closed too early, it would cut those off although nothing of its own
 * runs any more.
 */
export class OpenCalls {
  private open = 0
  private readonly idleListeners = new Set<() => void>()

  get count (): number {
    return this.open
  }

  /** Counts what a listener serves from now on. */
  watch (app: FastifyInstance): void {
    app.addHook('onRequest', (_request, reply, done) => {
      this.open += 1
      reply.raw.once('close', () => { this.noteClosed() })
      done()
    })
  }

  /** Resolves once no caller waits for an answer. */
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

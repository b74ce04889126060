/** Undoes a registration. Idempotent. */
export type Teardown = () => void

/** Combines teardowns into one that runs them in reverse order, each once. */
export function mergeTeardowns (...teardowns: readonly Teardown[]): Teardown {
  let pending = [...teardowns]
  return () => {
    const running = pending
    pending = []
    for (const teardown of running.reverse()) teardown()
  }
}

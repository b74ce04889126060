/** Undoes a registration. Calling it twice is harmless. */
export type Teardown = () => void

/** Joins teardowns into one that runs them in reverse order, each once. */
export function mergeTeardowns (...teardowns: readonly Teardown[]): Teardown {
  let pending = [...teardowns]
  return () => {
    const running = pending
    pending = []
    for (const teardown of running.reverse()) teardown()
  }
}

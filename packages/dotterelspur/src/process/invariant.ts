/**
 * Fails loudly when the program itself is wrong. Never used for input, peers or back ends: those have
 * typed errors.
 *
 * @throws Error with `message` when `condition` doesn't hold.
 */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new Error(`invariant: ${message}`)
}

/** Marks a branch of a closed union that can't be reached; fails to compile when a member is added. */
export function unreachable (value: never): never {
  throw new Error(`invariant: unexpected value ${JSON.stringify(value)}`)
}

/**
 * Asserts a condition that only a programming error can violate. Not to be used for input, peers or back ends, whose
 * failures are typed errors.
 *
 * @throws Error with `message` if `condition` is falsy.
 */
export function invariant (condition: unknown, message: string): asserts condition {
  if (!condition) throw new Error(`invariant: ${message}`)
}

/** Marks an unreachable branch of a closed union; compilation fails if a member is added to the union. */
export function unreachable (value: never): never {
  throw new Error(`invariant: unexpected value ${JSON.stringify(value)}`)
}

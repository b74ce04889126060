/** What the bodies of all callers' requests take together at most before large ones wait. */
export const BODY_MEMORY_BYTES = 64 * 1_048_576
/** Large bodies wait as well while all that callers make the process hold comes to this part of its limit. */
export const BODIES_SHARE = 0.95

/** What the bodies of all callers' requests take together at most before large ones wait. */
export const BODY_MEMORY_BYTES = 64 * 1_048_576
/** The same as a part of what callers may make the process hold. The rest is for connections, requests and responses. */
export const BODIES_SHARE = 0.95

/**
 * What the bodies of all callers' requests take together before large ones wait. A process of 350 MB uses a third of it without requests, and a body
 * that is complete takes twice its size for a moment. It is as much as all exchanges may buffer of their responses.
 */
export const BODY_MEMORY_BYTES = 64 * 1_048_576

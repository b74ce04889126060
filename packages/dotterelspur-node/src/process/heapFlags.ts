const MIB = 1_048_576
const YOUNG_SPACE_MIB = 4
/** The rest is for code, buffers outside the heap, and memory that the allocator does not return. */
const OLD_SPACE_SHARE = 0.67

/** Flags of the runtime for a node that may use `memoryBytes`. Without them the heap grows by the memory of the host, however small the node's share is. */
export function heapFlags (memoryBytes: number): readonly string[] {
  return [`--max-semi-space-size=${YOUNG_SPACE_MIB}`, `--max-old-space-size=${Math.round(memoryBytes * OLD_SPACE_SHARE / MIB)}`]
}

/** What to tell an operator whose runtime lets the heap alone take more than the node may use; null otherwise. */
export function heapWarning (heapLimitBytes: number, memoryBytes: number): string | null {
  if (heapLimitBytes <= memoryBytes) return null
  return `the heap may grow to ${heapLimitBytes} bytes, beyond memory-bytes = ${memoryBytes}; start with NODE_OPTIONS="${heapFlags(memoryBytes).join(' ')}"`
}

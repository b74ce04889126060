import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Bytes that this process uses after a garbage collection, on the heap and in buffers. */
export function usedMemoryBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

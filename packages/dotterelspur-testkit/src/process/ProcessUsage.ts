import { readdirSync, readFileSync } from 'node:fs'

const SAMPLE_INTERVAL_MS = 20
const KIB = 1_024

/** The peaks of a process on this machine, read from /proc until `stop`. */
export class ProcessUsage {
  private descriptors = 0
  private memoryKib = 0
  private readonly timer: NodeJS.Timeout

  constructor (private readonly processId: number) {
    this.sample()
    this.timer = setInterval(() => { this.sample() }, SAMPLE_INTERVAL_MS)
  }

  get peakDescriptors (): number {
    return this.descriptors
  }

  /** Peak of the resident memory since the start of the process. */
  get peakMemoryBytes (): number {
    return this.memoryKib * KIB
  }

  /** Whether the process runs. One that has ended and was not waited for has no descriptors. */
  get isAlive (): boolean {
    return this.sample()
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private sample (): boolean {
    try {
      const descriptors = readdirSync(`/proc/${this.processId}/fd`).length
      this.descriptors = Math.max(this.descriptors, descriptors)
      const peak = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${this.processId}/status`, 'utf8'))
      if (peak !== null) this.memoryKib = Math.max(this.memoryKib, Number(peak[1]))
      return descriptors > 0
    } catch {
      return false
    }
  }
}

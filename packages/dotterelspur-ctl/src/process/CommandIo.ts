import type { Clock } from 'dotterelspur'
import type { AdminTransport } from '../connection/AdminTransport.js'

/** The world as the command line sees it; tests put their own in its place. */
export interface CommandIo {
  readonly environment: Readonly<Record<string, string | undefined>>
  readonly clock: Clock
  readonly transport: AdminTransport
  /** Reads a file whole; `-` is standard input. Throws what the file system throws. */
  readonly readFile: (path: string) => Promise<Uint8Array>
  readonly createChangeToken: () => string
  readonly writeOutput: (text: string) => void
  readonly writeError: (text: string) => void
}

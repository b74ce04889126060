/** Paths of the small listeners. */
export interface PlatformFormat {
  readonly readyPath: string
  readonly directoryPath: string
  readonly metricsPath: string
  /** The directory's answer, of addresses and a time to live. */
  readonly writeDirectory: (addresses: readonly string[], ttlMs: number) => unknown
}

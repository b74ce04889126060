/** Paths and response formats of the readiness, directory and metrics listeners. */
export interface PlatformFormat {
  readonly readyPath: string
  readonly directoryPath: string
  readonly metricsPath: string
  /** Builds the directory's response from addresses and a time to live. */
  readonly writeDirectory: (addresses: readonly string[], ttlMs: number) => unknown
}

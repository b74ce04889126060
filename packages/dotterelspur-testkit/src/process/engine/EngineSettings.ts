/** Whether the engines check the fencing number of an order. */
export enum FencingMode {
  /** An order with a lower number than a previous one is rejected. */
  Checked = 'checked',
  /** Every order is executed, however old. */
  Ignored = 'ignored'
}

/** Behaviour of the stand-in engines. Times pass on the clock that they are given. */
export interface EngineSettings {
  readonly fencing: FencingMode
  /** Duration of a step of the batch for one token of each running request. */
  readonly tokenMs: number
  /** Tokens that a step generates for each request; more than one results in fewer, larger chunks. */
  readonly tokensPerStep: number
  /** Time to read a prompt token that is not in the prefix cache. */
  readonly prefillMsPerToken: number
  /** Concurrent requests above which a step takes longer. */
  readonly capacity: number
  /** Maximum of concurrent requests; further ones wait. */
  readonly maxRunning: number
  readonly maxWaiting: number
  /** Age of the load that a probe reports. */
  readonly loadLagMs: number
  /** Capacity of the prefix cache in prompt blocks. */
  readonly cacheBlocks: number
  readonly cacheEventDelayMs: number
  /** Share of cache events that are lost, in percent. */
  readonly cacheEventLossPercent: number
  /** Time for which a run continues after its last connection broke, so that it can be resumed. */
  readonly detachGraceMs: number
  /** Time for which an ended run is remembered. */
  readonly rememberMs: number
  /** Size of a member's share of a model's weights. */
  readonly weightBytesPerVm: number
  /** Default downtime of a restarted VM. */
  readonly restartMs: number
  /** Default time from the announcement that a VM leaves until its end. */
  readonly leaveMs: number
  /** Default time that a straggler adds to each step. */
  readonly straggleMs: number
}

export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  fencing: FencingMode.Checked,
  tokenMs: 8,
  tokensPerStep: 1,
  prefillMsPerToken: 0.2,
  capacity: 16,
  maxRunning: 64,
  maxWaiting: 256,
  loadLagMs: 500,
  cacheBlocks: 512,
  cacheEventDelayMs: 200,
  cacheEventLossPercent: 2,
  detachGraceMs: 2_000,
  rememberMs: 60_000,
  weightBytesPerVm: 8_000_000,
  restartMs: 500,
  leaveMs: 30_000,
  straggleMs: 200
}

/** Takes `sizeBytes` from the weight store's budget; returns the milliseconds until they are loaded. */
export type LoadRequester = (sizeBytes: number) => number

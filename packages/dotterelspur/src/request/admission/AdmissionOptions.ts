import { PriorityClass } from '../../connection/EngineApi.js'
import { DEFAULT_ADAPTIVE_LIMIT_OPTIONS, type AdaptiveLimitOptions } from './AdaptiveLimit.js'

export interface AdmissionOptions {
  /** Maximum number of queued requests per lane and class at this node. */
  readonly queueLimit: Readonly<Record<PriorityClass, number>>
  /** Maximum time in the queue; a request that has waited this long is shed even if its deadline is later. */
  readonly maxQueueMs: Readonly<Record<PriorityClass, number>>
  /** Weights of the classes for dispatches while several have queued requests. */
  readonly classWeight: Readonly<Record<PriorityClass, number>>
  /**
   * A class is dispatched only while less than this share of the lane's concurrency is in use by all classes together.
   */
  readonly classShare: Readonly<Record<PriorityClass, number>>
  /**
   * A class using less than this share of the concurrency is dispatched in spite of `classShare`, so that it is never
   * starved.
   */
  readonly classFloor: Readonly<Record<PriorityClass, number>>
  /** Concurrency limit of a lane before its first configuration. */
  readonly initialConcurrency: number
  readonly limit: AdaptiveLimitOptions
}

export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
  queueLimit: { [PriorityClass.Interactive]: 64, [PriorityClass.Standard]: 64, [PriorityClass.Bulk]: 256 },
  maxQueueMs: { [PriorityClass.Interactive]: 1_500, [PriorityClass.Standard]: 5_000, [PriorityClass.Bulk]: 30_000 },
  classWeight: { [PriorityClass.Interactive]: 16, [PriorityClass.Standard]: 4, [PriorityClass.Bulk]: 1 },
  classShare: { [PriorityClass.Interactive]: 1, [PriorityClass.Standard]: 0.9, [PriorityClass.Bulk]: 0.75 },
  classFloor: { [PriorityClass.Interactive]: 0.2, [PriorityClass.Standard]: 0.1, [PriorityClass.Bulk]: 0.05 },
  initialConcurrency: 64,
  limit: DEFAULT_ADAPTIVE_LIMIT_OPTIONS
}

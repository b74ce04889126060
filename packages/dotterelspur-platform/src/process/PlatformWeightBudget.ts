import { StoreErrorKind, failed, success } from 'dotterelspur'
import type { Result, StoreError } from 'dotterelspur'
import { z } from 'zod'
import { ResponseStatus, CallKind, HttpMethod } from '../request/PlatformCall.js'
import { WEIGHTS_PATH } from '../request/paths.js'
import { readProcedure, createStatusError } from '../request/readProcedure.js'
import type { PlatformObjectStore } from './PlatformObjectStore.js'

/** The weight store's bandwidth budget and the part of it that is currently granted to weight loads. */
export interface WeightBudget {
  readonly budgetBytesPerSecond: number
  readonly grantedBytesPerSecond: number
  readonly grants: number
}

const budgetSchema = z.object({
  budgetBytesPerSecond: z.number().nonnegative(),
  grantedBytesPerSecond: z.number().nonnegative(),
  grants: z.number().int().nonnegative()
})

/** Reads the weight store's budget, as docs/contracts/weight-store.md describes it. Engines acquire grants themselves. */
export class PlatformWeightBudget {
  constructor (private readonly store: PlatformObjectStore) {}

  /** Reads the budget, which counts as one call to the platform. */
  async read (): Promise<Result<WeightBudget, StoreError>> {
    const request = { callKind: CallKind.Read, method: HttpMethod.Get, path: WEIGHTS_PATH }
    return await this.store.run(readProcedure(request, this.store.procedureContext, (reply) => {
      if (reply.status !== ResponseStatus.Ok) return failed(createStatusError(reply.status, reply.body))
      const parsed = budgetSchema.safeParse(reply.body)
      return parsed.success ? success(parsed.data) : failed({ kind: StoreErrorKind.Invalid, reason: 'the response is not a weight budget' })
    }))
  }
}

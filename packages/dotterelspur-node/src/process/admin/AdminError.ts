import { StoreErrorKind, failed, type Failed, type StoreError } from 'dotterelspur'
import { AdminErrorKind, type AdminError, type SettingsError, formatSettingsError } from 'dotterelspur-settings'

/** HTTP status of each kind of error. */
export const ADMIN_STATUS: Readonly<Record<AdminErrorKind, number>> = {
  [AdminErrorKind.Unauthorized]: 401,
  [AdminErrorKind.Forbidden]: 403,
  [AdminErrorKind.NotFound]: 404,
  [AdminErrorKind.InvalidRequest]: 400,
  [AdminErrorKind.InvalidSettings]: 422,
  [AdminErrorKind.Conflict]: 409,
  [AdminErrorKind.StoreUnavailable]: 503,
  [AdminErrorKind.OutcomeUnknown]: 504,
  [AdminErrorKind.TooLarge]: 413,
  [AdminErrorKind.Internal]: 500
}

const RETRY_AFTER_MS = 2_000

type StoreErrorHandlers = { readonly [Kind in StoreErrorKind]: (error: Extract<StoreError, { kind: Kind }>) => AdminError }

const FROM_STORE: StoreErrorHandlers = {
  [StoreErrorKind.NotFound]: (error) => ({ kind: AdminErrorKind.NotFound, message: `${error.key} does not exist` }),
  [StoreErrorKind.Conflict]: () => ({ kind: AdminErrorKind.Conflict, message: 'the object was changed concurrently; nothing was written', current: null, refusedText: null }),
  [StoreErrorKind.Unavailable]: (error) => storeUnavailable(error.reason, RETRY_AFTER_MS),
  [StoreErrorKind.RateLimited]: (error) => storeUnavailable('the platform rate-limits calls at the moment', error.retryAfterMs),
  [StoreErrorKind.Unknown]: (error) => ({ kind: AdminErrorKind.OutcomeUnknown, message: `the platform's response was lost (${error.reason}); the change may or may not have taken effect. Send the same request with the same change token again to find out` }),
  [StoreErrorKind.Invalid]: (error) => ({ kind: AdminErrorKind.Internal, message: `the platform rejected the request: ${error.reason}` })
}

/** Converts a store error into the error that an operator receives. */
export function fromStoreError (error: StoreError): AdminError {
  const handler = FROM_STORE[error.kind] as (error: StoreError) => AdminError
  return handler(error)
}

export function storeUnavailable (reason: string, retryAfterMs = RETRY_AFTER_MS): AdminError {
  return { kind: AdminErrorKind.StoreUnavailable, message: `the platform's store is unavailable, nothing was written: ${reason}`, retryAfterMs }
}

export function notFound (message: string): Failed<AdminError> {
  return failed({ kind: AdminErrorKind.NotFound, message })
}

export function invalidSettings (error: SettingsError): Failed<AdminError> {
  return failed({ kind: AdminErrorKind.InvalidSettings, message: `the settings are not accepted, nothing was changed:\n${formatSettingsError(error)}`, problems: [...error.problems] })
}

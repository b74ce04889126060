/** A value or a typed error. Errors that the calling code is expected to handle are returned this way, not thrown. */
export type Result<Value, Failure> = Success<Value> | Failed<Failure>

export interface Success<Value> {
  readonly ok: true
  readonly value: Value
}

export interface Failed<Failure> {
  readonly ok: false
  readonly error: Failure
}

export function success<Value> (value: Value): Success<Value> {
  return { ok: true, value }
}

export function failed<Failure> (error: Failure): Failed<Failure> {
  return { ok: false, error }
}

/**
 * Control flow that does I/O, written as generators. A procedure yields typed effects and receives their
 * results; a driver performs them through a lookup table of handlers. The same procedure runs against the
 * network in a node and against a table in a test.
 */

/** An operation that a procedure requests from its driver. `resultType` only carries the type of the result. */
export interface Effect<Kind extends string, Value> {
  readonly kind: Kind
  readonly resultType?: Value
}

/** A procedure that yields effects of the union `Effects` and returns `Value`. */
export type Procedure<Effects, Value> = Generator<Effects, Value, unknown>

type AnyEffect = Effect<string, unknown>
type ResultOf<One extends AnyEffect> = One extends Effect<string, infer Value> ? Value : never

/** One handler for each kind of effect. */
export type EffectHandlers<Effects extends AnyEffect> = {
  readonly [Kind in Effects['kind']]: (effect: Extract<Effects, { kind: Kind }>) =>
  ResultOf<Extract<Effects, { kind: Kind }>> | Promise<ResultOf<Extract<Effects, { kind: Kind }>>>
}

/** Yields one effect and returns its result with the type that the effect declares. */
export function * perform<One extends AnyEffect> (effect: One): Generator<One, ResultOf<One>, unknown> {
  return (yield effect) as ResultOf<One>
}

/** Runs a procedure to completion. An error thrown by a handler is thrown inside the procedure, at the effect. */
export async function runProcedure<Effects extends AnyEffect, Value> (
  procedure: Procedure<Effects, Value>,
  handlers: EffectHandlers<Effects>
): Promise<Value> {
  const table = handlers as unknown as Readonly<Record<string, (effect: Effects) => unknown>>
  let step = procedure.next()
  while (step.done !== true) {
    const effect = step.value
    let result: unknown
    try {
      result = await table[effect.kind]!(effect)
    } catch (error) {
      step = procedure.throw(error)
      continue
    }
    step = procedure.next(result)
  }
  return step.value
}

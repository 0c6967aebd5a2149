/** The outcome of a successful operation. */
export interface Ok<Value> {
  kind: 'ok'
  value: Value
}

/** The outcome of a failed operation; the failure is usually a tagged union. */
export interface Failed<Failure> {
  kind: 'failed'
  failure: Failure
}

/** The outcome of an operation with expected failures, returned instead of throwing. */
export type Outcome<Value, Failure> = Ok<Value> | Failed<Failure>

/**
 * Creates a successful outcome.
 * @param value The result of the operation.
 * @returns The outcome.
 */
export function ok<Value> (value: Value): Ok<Value> {
  return { kind: 'ok', value }
}

/**
 * Creates a failed outcome.
 * @param failure The reason of the failure.
 * @returns The outcome.
 */
export function failed<Failure> (failure: Failure): Failed<Failure> {
  return { kind: 'failed', failure }
}

/**
 * A value or a typed error, for operations whose failures are expected and have
 * to be handled by the caller.
 *
 * @public
 */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: E};

/** Creates a successful result. @public */
export function ok<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/** Creates a failed result. @public */
export function fail<E>(err: E): {readonly ok: false; readonly err: E} {
  return {ok: false, err};
}

/**
 * Success or typed failure, for operations whose failure is an ordinary
 * outcome that the caller has to handle.
 *
 * @public
 */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: E};

/** Wraps a value as a success. @public */
export function ok<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/** Wraps a typed failure. @public */
export function fail<E>(err: E): {readonly ok: false; readonly err: E} {
  return {ok: false, err};
}

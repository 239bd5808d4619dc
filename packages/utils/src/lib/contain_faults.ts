/** Wraps a callback, so that what it throws goes to a handler. @public */
export type Contain = <Args extends unknown[]>(
  callback: (...args: Args) => void
) => (...args: Args) => void;

/**
 * Returns a function that wraps the callbacks of one unit of work. A fault in any
 * of them ends that unit by its handler, and not the process.
 *
 * @public
 */
export function containFaults(onFault: (err: unknown) => void): Contain {
  return callback =>
    (...args) => {
      try {
        callback(...args);
      } catch (err) {
        onFault(err);
      }
    };
}

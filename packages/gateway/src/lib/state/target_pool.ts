const PREFIX = 'target:';

/**
 * The usage pool in which requests to one target count while it limits their
 * rate.
 *
 * @public
 */
export function targetPool(targetId: string): string {
  return `${PREFIX}${targetId}`;
}

/** Id of the target of a pool; undefined if it is a pool of customers. @public */
export function targetOfPool(pool: string): string | undefined {
  return pool.startsWith(PREFIX) ? pool.slice(PREFIX.length) : undefined;
}

/**
 * Returns the max-min fair level of a capacity: demands below the level are met
 * in full, and all others get the level. Infinite if the capacity meets all
 * demands.
 *
 * @internal
 */
export function maxMinLevel(
  demands: readonly number[],
  capacity: number
): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  let count = sorted.length;
  for (const demand of sorted) {
    const share = remaining / count;
    if (demand > share) return share;
    remaining -= demand;
    count -= 1;
  }
  return Infinity;
}

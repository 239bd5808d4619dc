/** Max-min fairness: how far a capacity fills the demands of all. */

/**
 * The level to which a capacity fills the demands: who asks for less gets all,
 * the others this much each. Infinite where all can be served.
 *
 * @public
 */
export function maxMinLevel(
  demands: readonly number[],
  capacity: number
): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  let count = sorted.length;
  for (const demand of sorted) {
    const even = remaining / count;
    if (demand > even) return even;
    remaining -= demand;
    count -= 1;
  }
  return Infinity;
}

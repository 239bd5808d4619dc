/**
 * The derived bound on the gap between backlogged customers.
 *
 * Let `c` be the largest cost of one request, `w` a customer's share and `n`
 * the most requests that it had running at once. Take backlogged customers i
 * and j, with i ahead. When i was last granted, it was not ahead of j. Since
 * then i was charged at most the whole cost of what it had running,
 * `n_i c / w_i`; and j, or the customer that j was lifted to, was given back
 * at most the estimates of what it had running, `n c / w`. So the gap is at
 * most the sum of the two largest terms `n c / w`.
 */

/** What the bound needs to know of one customer. @public */
export interface BoundTerm {
  readonly share: number;
  /** The most requests it had running at once. */
  readonly peakRunning: number;
}

/** The bound in weighted tokens per share. @public */
export function fairnessBound(
  largestCost: number,
  terms: Iterable<BoundTerm>
): number {
  let largest = 0;
  let second = 0;
  for (const {share, peakRunning} of terms) {
    const term = (peakRunning * largestCost) / share;
    if (term > largest) {
      second = largest;
      largest = term;
    } else {
      second = Math.max(second, term);
    }
  }
  return largest + second;
}

/** The values of one customer that the bound depends on. @public */
export interface BoundTerm {
  readonly share: number;
  /** The largest number of requests that it had running at once. */
  readonly peakRunning: number;
}

/**
 * Returns the upper bound on the gap between the service counters of two
 * backlogged customers, in weighted tokens per share.
 *
 * Let `c` be the largest cost of one request, `w` a customer's share and `n`
 * the largest number of requests that it had running at once. Take backlogged
 * customers i and j, with the counter of i above that of j. When i was last
 * granted a slot, its counter was not above that of j. Since then, i was
 * charged at most the full cost of its running requests, `n_i c / w_i`. And j,
 * or the customer to whose counter j was lifted when it became backlogged, was
 * refunded at most the estimates of its running requests, `n c / w`. So the
 * gap is at most the sum of the two largest terms `n c / w`.
 *
 * @public
 */
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

/** A customer's usage in one second, in weighted tokens. @public */
export interface SecondUsage {
  readonly requested: number;
  readonly admitted: number;
  /** Whether any of the customer's requests was refused. */
  readonly wasRefused: boolean;
}

/** Maps a customer to its usage, one element per second. @public */
export type UsageTimeline = ReadonlyMap<string, readonly SecondUsage[]>;

/**
 * A window in which a customer had a request refused in each second. Amounts
 * are in weighted tokens over the window.
 *
 * @public
 */
export interface FairnessWindow {
  /** First second of the window, counted from the timeline's start. */
  readonly second: number;
  readonly customer: string;
  /** Requested by the customer. */
  readonly asked: number;
  /** Admitted for the customer. */
  readonly given: number;
  /**
   * The best served other customer. In each second, its admitted tokens count
   * up to what `customer` requested.
   */
  readonly best: string;
  /** Admitted for `best`. */
  readonly bestGiven: number;
  /** `given` divided by half of the tokens that count for `best`. */
  readonly ratio: number;
}

/**
 * Compares each customer that has requests refused with the best served one, in
 * sliding windows of whole seconds. The fleet guarantees a ratio of at least 1:
 * the customer gets half of what the best served customer gets, or half of what
 * it requests if that is less.
 *
 * @param windowS - length of a window, in seconds
 * @returns the windows in which a customer had a request refused in each second
 *     and another customer had tokens that count
 * @public
 */
export function fairnessWindows(
  timeline: UsageTimeline,
  windowS: number
): FairnessWindow[] {
  const windows: FairnessWindow[] = [];
  for (const [customer, usage] of timeline) {
    for (let second = 0; second + windowS <= usage.length; second++) {
      const own = usage.slice(second, second + windowS);
      if (!own.every(({wasRefused}) => wasRefused)) continue;
      const window = compareWithBest(timeline, customer, second, own);
      if (window !== undefined) windows.push(window);
    }
  }
  return windows;
}

/** Returns undefined if no other customer has tokens that count. */
function compareWithBest(
  timeline: UsageTimeline,
  customer: string,
  second: number,
  own: readonly SecondUsage[]
): FairnessWindow | undefined {
  // Half of this is owed to the customer.
  let owed = 0;
  let best = '';
  for (const [other, usage] of timeline) {
    if (other === customer) continue;
    const comparable = own.map(({requested}, i) =>
      Math.min(requested, usage[second + i]?.admitted ?? 0)
    );
    const sum = total(comparable);
    if (sum <= owed) continue;
    owed = sum;
    best = other;
  }
  if (owed === 0) return undefined;
  const bestUsage = timeline.get(best)?.slice(second, second + own.length);
  const admitted = total(own.map(row => row.admitted));
  return {
    second,
    customer,
    asked: total(own.map(row => row.requested)),
    given: admitted,
    best,
    bestGiven: total((bestUsage ?? []).map(row => row.admitted)),
    ratio: admitted / (owed / 2),
  };
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

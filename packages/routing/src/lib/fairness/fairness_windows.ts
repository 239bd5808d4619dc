/**
 * How close customers that wait come to half of the best served customer's
 * service, in sliding windows of whole seconds. The bound of the promise is a
 * ratio of 1; above it a customer has more than half.
 */

/** What a customer used in one second, in weighted tokens. @public */
export interface SecondUsage {
  readonly requested: number;
  readonly admitted: number;
  /** Whether a request of its was refused. */
  readonly wasRefused: boolean;
}

/** Customer to its uses, one entry for each second. @public */
export type UsageTimeline = ReadonlyMap<string, readonly SecondUsage[]>;

/** A customer that waited in each second of a window. @public */
export interface FairnessWindow {
  /** First second of the window. */
  readonly second: number;
  readonly customer: string;
  readonly asked: number;
  readonly given: number;
  /** The customer of which half is owed, and what it was given. */
  readonly best: string;
  readonly bestGiven: number;
  /** Given service to half of what is owed by comparison with the best. */
  readonly ratio: number;
}

/** All windows in which a customer waited all through. @public */
export function fairnessWindows(
  timeline: UsageTimeline,
  windowS: number
): FairnessWindow[] {
  const windows: FairnessWindow[] = [];
  for (const [customer, uses] of timeline) {
    for (let second = 0; second + windowS <= uses.length; second++) {
      const part = uses.slice(second, second + windowS);
      if (!part.every(({wasRefused}) => wasRefused)) continue;
      const window = compareWithBest(timeline, customer, second, part);
      if (window !== undefined) windows.push(window);
    }
  }
  return windows;
}

function compareWithBest(
  timeline: UsageTimeline,
  customer: string,
  second: number,
  part: readonly SecondUsage[]
): FairnessWindow | undefined {
  let owed = 0;
  let best = '';
  for (const [other, uses] of timeline) {
    if (other === customer) continue;
    const comparable = part.map(({requested}, i) =>
      Math.min(requested, uses[second + i]?.admitted ?? 0)
    );
    const sum = total(comparable);
    if (sum <= owed) continue;
    owed = sum;
    best = other;
  }
  if (owed === 0) return undefined;
  const bestUses = timeline.get(best)?.slice(second, second + part.length);
  const given = total(part.map(use => use.admitted));
  return {
    second,
    customer,
    asked: total(part.map(use => use.requested)),
    given,
    best,
    bestGiven: total((bestUses ?? []).map(use => use.admitted)),
    ratio: given / (owed / 2),
  };
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

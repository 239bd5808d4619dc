/**
 * A cost per unit, measured at one size. From its values at several sizes, the
 * cost at a larger size is extrapolated.
 */
export interface Slope {
  readonly what: string;
  /** The number of customers, claims, routers or other units. */
  readonly size: number;
  readonly unit: string;
  readonly value: number;
}

const US_PER_MS = 1000;
/** Smaller values are printed with two decimals, others as integers. */
const TWO_DECIMALS_BELOW = 10;

/** All slopes recorded so far. */
export const slopes: Slope[] = [];

/** Adds a value to the table. */
export function recordSlope(
  what: string,
  size: number,
  unit: string,
  value: number
): void {
  slopes.push({what, size, unit, value});
}

/** Returns the mean time of a call of `work`, the best of three attempts. */
export function microsecondsPerCall(rounds: number, work: () => void): number {
  let best = Infinity;
  for (let attempt = 0; attempt < 3; attempt++) {
    const startMs = performance.now();
    for (let i = 0; i < rounds; i++) work();
    best = Math.min(best, (performance.now() - startMs) / rounds);
  }
  return best * US_PER_MS;
}

/**
 * Returns the bytes of live objects. Node.js must run with `--expose-gc`, else
 * garbage is counted too.
 */
export function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Prints the table in Markdown. */
export function printSlopes(): void {
  console.log('| what | size | value | unit |');
  console.log('| --- | ---: | ---: | --- |');
  for (const {what, size, unit, value} of slopes) {
    const digits = value < TWO_DECIMALS_BELOW ? 2 : 0;
    console.log(`| ${what} | ${size} | ${value.toFixed(digits)} | ${unit} |`);
  }
}

/** The table that the slopes are noted in, and how they are measured. */

/** One line of the table. */
export interface Slope {
  readonly what: string;
  readonly size: number;
  readonly unit: string;
  readonly value: number;
}

const MICROSECONDS = 1000;
const TWO_DECIMALS_BELOW = 10;

/** Every slope so far. */
export const slopes: Slope[] = [];

/** Notes one value. */
export function recordSlope(
  what: string,
  size: number,
  unit: string,
  value: number
): void {
  slopes.push({what, size, unit, value});
}

/** Microseconds for one call, the best of three rounds. */
export function microsecondsPerCall(rounds: number, work: () => void): number {
  let best = Infinity;
  for (let attempt = 0; attempt < 3; attempt++) {
    const startMs = performance.now();
    for (let i = 0; i < rounds; i++) work();
    best = Math.min(best, (performance.now() - startMs) / rounds);
  }
  return best * MICROSECONDS;
}

/** Bytes of live objects, after a collection. */
export function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Prints the table. */
export function printSlopes(): void {
  console.log('| what | size | value | unit |');
  console.log('| --- | ---: | ---: | --- |');
  for (const {what, size, unit, value} of slopes) {
    const digits = value < TWO_DECIMALS_BELOW ? 2 : 0;
    console.log(`| ${what} | ${size} | ${value.toFixed(digits)} | ${unit} |`);
  }
}

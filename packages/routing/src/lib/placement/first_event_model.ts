/**
 * Learns how long the first event of a stream takes: a fixed time plus a time
 * for each token of prefill that is ahead of it or its own. Fitted by
 * recursive least squares with forgetting, so that it follows the engines.
 */

/** Milliseconds; the start before anything was observed. */
const START_FIXED_MS = 80;
const START_MS_PER_KILOTOKEN = 22;
const FORGETTING = 0.995;
const START_VARIANCE = 50;
const MAX_VARIANCE = 1000;
const MIN_FIXED_MS = 5;
const MAX_FIXED_MS = 400;
const MIN_MS_PER_KILOTOKEN = 2;
const MAX_MS_PER_KILOTOKEN = 200;
const TOKENS_PER_KILOTOKEN = 1000;

/** @public */
export class FirstEventModel {
  private fixedMs = START_FIXED_MS;
  private slope = START_MS_PER_KILOTOKEN;
  /** Covariance of the two estimates. */
  private varFixed = START_VARIANCE;
  private varSlope = START_VARIANCE;
  private covariance = 0;

  private constructor() {}

  static create(): FirstEventModel {
    return new FirstEventModel();
  }

  /** Time without any prefill. */
  get baseMs(): number {
    return this.fixedMs;
  }

  /** Time that the prefill of some tokens takes. */
  prefillMs(tokens: number): number {
    return (tokens / TOKENS_PER_KILOTOKEN) * this.slope;
  }

  /** Notes a first event that came `elapsedMs` after its request was sent. */
  observe(prefillTokens: number, elapsedMs: number): void {
    const x = prefillTokens / TOKENS_PER_KILOTOKEN;
    const gainFixed = this.varFixed + this.covariance * x;
    const gainSlope = this.covariance + this.varSlope * x;
    const scale = FORGETTING + gainFixed + gainSlope * x;
    const error = elapsedMs - this.fixedMs - this.slope * x;
    const kFixed = gainFixed / scale;
    const kSlope = gainSlope / scale;
    this.fixedMs = clamp(
      this.fixedMs + kFixed * error,
      MIN_FIXED_MS,
      MAX_FIXED_MS
    );
    this.slope = clamp(
      this.slope + kSlope * error,
      MIN_MS_PER_KILOTOKEN,
      MAX_MS_PER_KILOTOKEN
    );
    const varFixed = (this.varFixed - kFixed * gainFixed) / FORGETTING;
    const covariance = (this.covariance - kFixed * gainSlope) / FORGETTING;
    const varSlope = (this.varSlope - kSlope * gainSlope) / FORGETTING;
    this.varFixed = clamp(varFixed, 0, MAX_VARIANCE);
    this.varSlope = clamp(varSlope, 0, MAX_VARIANCE);
    const limit = Math.sqrt(this.varFixed * this.varSlope);
    this.covariance = clamp(covariance, -limit, limit);
  }
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

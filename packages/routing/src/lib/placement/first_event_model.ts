/**
 * Learns how long the first event of a stream takes: a fixed time plus a time
 * for each token of prefill that is ahead of it or its own. Fitted by
 * recursive least squares with forgetting, so that it follows the engines.
 */

/** Milliseconds; the start before anything was observed. */
const INITIAL_FIXED_MS = 80;
const INITIAL_MS_PER_KILOTOKEN = 22;
const FORGETTING_FACTOR = 0.995;
const INITIAL_VARIANCE = 50;
const MAX_VARIANCE = 1000;
const MIN_FIXED_MS = 5;
const MAX_FIXED_MS = 400;
const MIN_MS_PER_KILOTOKEN = 2;
const MAX_MS_PER_KILOTOKEN = 200;
const TOKENS_PER_KILOTOKEN = 1000;

/** @public */
export class FirstEventModel {
  private fixedMs = INITIAL_FIXED_MS;
  private msPerKilotoken = INITIAL_MS_PER_KILOTOKEN;
  /** Covariance of the two estimates. */
  private varFixed = INITIAL_VARIANCE;
  private varSlope = INITIAL_VARIANCE;
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
    return (tokens / TOKENS_PER_KILOTOKEN) * this.msPerKilotoken;
  }

  /** Notes a first event that came `elapsedMs` after its request was sent. */
  observe(prefillTokens: number, elapsedMs: number): void {
    const x = prefillTokens / TOKENS_PER_KILOTOKEN;
    const gainFixed = this.varFixed + this.covariance * x;
    const gainSlope = this.covariance + this.varSlope * x;
    const scale = FORGETTING_FACTOR + gainFixed + gainSlope * x;
    const error = elapsedMs - this.fixedMs - this.msPerKilotoken * x;
    const kFixed = gainFixed / scale;
    const kSlope = gainSlope / scale;
    this.fixedMs = clamp(
      this.fixedMs + kFixed * error,
      MIN_FIXED_MS,
      MAX_FIXED_MS
    );
    this.msPerKilotoken = clamp(
      this.msPerKilotoken + kSlope * error,
      MIN_MS_PER_KILOTOKEN,
      MAX_MS_PER_KILOTOKEN
    );
    const varFixed = (this.varFixed - kFixed * gainFixed) / FORGETTING_FACTOR;
    const covariance = (this.covariance - kFixed * gainSlope) / FORGETTING_FACTOR;
    const varSlope = (this.varSlope - kSlope * gainSlope) / FORGETTING_FACTOR;
    this.varFixed = clamp(varFixed, 0, MAX_VARIANCE);
    this.varSlope = clamp(varSlope, 0, MAX_VARIANCE);
    const limit = Math.sqrt(this.varFixed * this.varSlope);
    this.covariance = clamp(covariance, -limit, limit);
  }
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

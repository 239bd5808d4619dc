/** The fixed time before anything is observed. */
const INITIAL_FIXED_MS = 80;
/** The prefill time per 1000 tokens before anything is observed. */
const INITIAL_MS_PER_KILOTOKEN = 22;
/** Factor by which each new observation discounts all earlier ones. */
const FORGETTING_FACTOR = 0.995;
/** Variances are relative to the error variance of a single observation. */
const INITIAL_VARIANCE = 50;
/**
 * Forgetting makes the variances grow without limit while all observations are
 * alike.
 */
const MAX_VARIANCE = 1000;
const MIN_FIXED_MS = 5;
const MAX_FIXED_MS = 400;
const MIN_MS_PER_KILOTOKEN = 2;
const MAX_MS_PER_KILOTOKEN = 200;
const TOKENS_PER_KILOTOKEN = 1000;

/**
 * Predicts the time to the first event of a stream: a fixed time plus a time
 * per token of prefill, its own and that queued ahead of it. The two parameters
 * are fitted by recursive least squares with exponential forgetting, so that
 * they follow changes in the engines' speed.
 *
 * @public
 */
export class FirstEventModel {
  private fixedMs = INITIAL_FIXED_MS;
  private msPerKilotoken = INITIAL_MS_PER_KILOTOKEN;
  /** Covariance matrix of the estimates `fixedMs` and `msPerKilotoken`. */
  private varFixed = INITIAL_VARIANCE;
  private varSlope = INITIAL_VARIANCE;
  private covariance = 0;

  private constructor() {}

  static create(): FirstEventModel {
    return new FirstEventModel();
  }

  /** Predicted time without any prefill. */
  get baseMs(): number {
    return this.fixedMs;
  }

  /** Returns the predicted time to prefill a number of tokens. */
  prefillMs(tokens: number): number {
    return (tokens / TOKENS_PER_KILOTOKEN) * this.msPerKilotoken;
  }

  /**
   * Updates the model with a first event.
   *
   * @param prefillTokens - tokens of the request's own prefill and of that
   *     queued ahead of it
   * @param elapsedMs - time from sending the request to its first event
   */
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
    const covariance =
      (this.covariance - kFixed * gainSlope) / FORGETTING_FACTOR;
    const varSlope = (this.varSlope - kSlope * gainSlope) / FORGETTING_FACTOR;
    this.varFixed = clamp(varFixed, 0, MAX_VARIANCE);
    this.varSlope = clamp(varSlope, 0, MAX_VARIANCE);
    const limit = Math.sqrt(this.varFixed * this.varSlope);
    // Keeps the matrix valid after its variances were limited.
    this.covariance = clamp(covariance, -limit, limit);
  }
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

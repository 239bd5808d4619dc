import type {
  RequestClassConfig,
  TemplateConfig,
} from '../config/config_schema.js';

const BYTES_PER_TOKEN = 4;
/** Weight of the latest observation in the moving average. */
const SMOOTHING_FACTOR = 0.2;

/** Tokens of one request: those of the prompt and those generated. @public */
export interface TokenUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/**
 * Returns the cost of one call of a model service in weighted tokens, the unit
 * of charges and of the fair order. Before the call has run, its tokens are
 * estimated by `estimateInputTokens` and `OutputEstimator`.
 *
 * @public
 */
export function modelCallCost(
  template: TemplateConfig,
  usage: TokenUsage
): number {
  return (
    usage.inputTokens * template.inputTokenCost +
    usage.outputTokens * template.outputTokenCost
  );
}

/** Estimates the number of input tokens roughly by the body's size. @public */
export function estimateInputTokens(bodyBytes: number): number {
  return Math.ceil(bodyBytes / BYTES_PER_TOKEN);
}

/**
 * Estimates output lengths by an exponential moving average for each customer
 * and request class.
 *
 * @public
 */
export class OutputEstimator {
  /** Mean output tokens by customer and class. */
  private readonly means = new Map<string, number>();

  private constructor() {}

  static create(): OutputEstimator {
    return new OutputEstimator();
  }

  /**
   * Returns the expected output tokens, at most `limit`: the mean so far, or
   * the configured value of the class before the first observation.
   */
  estimate(customer: string, cls: RequestClassConfig, limit: number): number {
    const mean = this.means.get(keyOf(customer, cls.name));
    return Math.min(limit, Math.round(mean ?? cls.expectedOutputTokens));
  }

  /** Adds the output length of a complete response. */
  observe(customer: string, className: string, outputTokens: number): void {
    const key = keyOf(customer, className);
    const mean = this.means.get(key) ?? outputTokens;
    this.means.set(key, mean + SMOOTHING_FACTOR * (outputTokens - mean));
  }
}

function keyOf(customer: string, className: string): string {
  return `${customer}\u0000${className}`;
}

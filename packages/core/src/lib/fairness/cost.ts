/** Service in weighted tokens, and the estimate made before it is known. */
import type {
  RequestClassConfig,
  TemplateConfig,
} from '../config/config_schema.js';

const BYTES_PER_TOKEN = 4;
const SMOOTHING_FACTOR = 0.2;

/** Tokens of one request, read and generated. @public */
export interface TokenUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Weighted tokens of a model call. @public */
export function modelCallCost(
  template: TemplateConfig,
  usage: TokenUsage
): number {
  return (
    usage.inputTokens * template.inputTokenCost +
    usage.outputTokens * template.outputTokenCost
  );
}

/** A rough count of input tokens from the size of the body. @public */
export function estimateInputTokens(bodyBytes: number): number {
  return Math.ceil(bodyBytes / BYTES_PER_TOKEN);
}

/** Learns the output length of each customer's classes. @public */
export class OutputEstimator {
  private readonly means = new Map<string, number>();

  private constructor() {}

  static create(): OutputEstimator {
    return new OutputEstimator();
  }

  /** Expected output tokens, never above what the request allows. */
  estimate(customer: string, cls: RequestClassConfig, limit: number): number {
    const mean = this.means.get(keyOf(customer, cls.name));
    return Math.min(limit, Math.round(mean ?? cls.expectedOutputTokens));
  }

  /** Takes in the real length of an answer that ended whole. */
  observe(customer: string, className: string, outputTokens: number): void {
    const key = keyOf(customer, className);
    const mean = this.means.get(key) ?? outputTokens;
    this.means.set(key, mean + SMOOTHING_FACTOR * (outputTokens - mean));
  }
}

function keyOf(customer: string, className: string): string {
  return `${customer}\u0000${className}`;
}

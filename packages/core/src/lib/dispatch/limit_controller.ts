/** Settings of a target's concurrency limit. @public */
export interface LimitSettings {
  /** The limit before it has adapted. */
  readonly startSlots: number;
  /** Upper bound of the adapted limit. */
  readonly maxSlots: number;
  /** Objective for the time to the first token, at p95. */
  readonly firstTokenTargetMs: number;
  /** Objective for the time between two tokens, at p95. */
  readonly betweenTokensTargetMs: number;
}

/** Measured token times of one response. @public */
export interface TokenTimes {
  readonly firstTokenMs: number;
  /** Time between two tokens, at p95 of the response. */
  readonly betweenTokensMs: number;
}

/** The limit is adapted once for this many responses. */
const WINDOW_RESPONSES = 20;
/** Factor of the limit when a latency exceeds its objective. */
const DECREASE_FACTOR = 0.85;
/** The limit grows only below this fraction of the latency objectives. */
const MAX_INCREASE_RATIO = 0.8;
const P95_FRACTION = 0.95;

/**
 * Adapts the number of requests that one target runs at once to its token
 * times: additive increase while all slots are needed and the latencies are
 * well below their objectives, multiplicative decrease when one is above.
 *
 * @public
 */
export class LimitController {
  private window: TokenTimes[] = [];
  /** Whether all usable slots were in use at some time in the window. */
  private wasFull = false;
  private currentSlots: number;

  private constructor(private readonly settings: LimitSettings) {
    this.currentSlots = settings.startSlots;
  }

  static create(settings: LimitSettings): LimitController {
    return new LimitController(settings);
  }

  get slots(): number {
    return this.currentSlots;
  }

  /** Records that every slot that the dispatcher may grant was in use. */
  onFull(): void {
    this.wasFull = true;
  }

  /** Records one response. Returns whether the limit changed. */
  onResponse(times: TokenTimes): boolean {
    this.window.push(times);
    if (this.window.length < WINDOW_RESPONSES) return false;
    const before = this.currentSlots;
    this.adapt();
    this.window = [];
    this.wasFull = false;
    return this.currentSlots !== before;
  }

  private adapt(): void {
    const firstTokenP95Ms = p95(this.window.map(times => times.firstTokenMs));
    const betweenTokensP95Ms = p95(
      this.window.map(times => times.betweenTokensMs)
    );
    const latencyRatio = Math.max(
      firstTokenP95Ms / this.settings.firstTokenTargetMs,
      betweenTokensP95Ms / this.settings.betweenTokensTargetMs
    );
    if (latencyRatio > 1) {
      const fewer = Math.floor(this.currentSlots * DECREASE_FACTOR);
      this.currentSlots = Math.max(1, fewer);
    } else if (latencyRatio < MAX_INCREASE_RATIO && this.wasFull) {
      const more = this.currentSlots + 1;
      this.currentSlots = Math.min(this.settings.maxSlots, more);
    }
  }
}

function p95(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * P95_FRACTION) - 1] ?? 0;
}

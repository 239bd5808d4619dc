/** Adapts how many requests a target runs at once to its token times. */

/** What a target is asked to keep at p95, and the range of its limit. @public */
export interface LimitSettings {
  readonly startSlots: number;
  readonly maxSlots: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Token times of one answer. @public */
export interface TokenTimes {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

const WINDOW_ANSWERS = 20;
const DECREASE_FACTOR = 0.85;
const HEADROOM = 0.8;
const P95 = 0.95;

/**
 * Additive increase while there is headroom and the target is full,
 * multiplicative decrease when a target time is missed.
 *
 * @public
 */
export class LimitController {
  private window: TokenTimes[] = [];
  private sawFull = false;
  private currentSlots: number;

  private constructor(private readonly targets: LimitSettings) {
    this.currentSlots = targets.startSlots;
  }

  static create(targets: LimitSettings): LimitController {
    return new LimitController(targets);
  }

  get slots(): number {
    return this.currentSlots;
  }

  /** Notes that every slot was in use. */
  onFull(): void {
    this.sawFull = true;
  }

  /** Takes in one answer; true when the limit changed. */
  onAnswer(times: TokenTimes): boolean {
    this.window.push(times);
    if (this.window.length < WINDOW_ANSWERS) return false;
    const before = this.currentSlots;
    this.adapt();
    this.window = [];
    this.sawFull = false;
    return this.currentSlots !== before;
  }

  private adapt(): void {
    const first = percentile(this.window.map(times => times.firstTokenMs));
    const between = percentile(this.window.map(times => times.betweenTokensMs));
    const load = Math.max(
      first / this.targets.firstTokenTargetMs,
      between / this.targets.betweenTokensTargetMs
    );
    if (load > 1) {
      const fewer = Math.floor(this.currentSlots * DECREASE_FACTOR);
      this.currentSlots = Math.max(1, fewer);
    } else if (load < HEADROOM && this.sawFull) {
      const more = this.currentSlots + 1;
      this.currentSlots = Math.min(this.targets.maxSlots, more);
    }
  }
}

function percentile(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.ceil(sorted.length * P95) - 1] ?? 0;
}

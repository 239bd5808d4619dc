import {TokenBucket} from './token_bucket.js';

/** Requests that may be sent at once, as time at the rate. */
const BURST_MS = 500;
const MIN_BURST = 2;
/** What was sent beyond the rate is made up for up to this time at the rate. */
const MAX_DEBT_MS = 4000;
/** A lower rate would leave no request to show that the limit is over. */
const MIN_RATE_PER_S = 0.2;
/** A response without a limit lifts one that was last named longer ago. */
const LIFT_AFTER_MS = 1000;
/** A limit that nobody has named for longer is over. */
const EXPIRY_MS = 30_000;
/** Peers are told of a limit that stays the same this often. */
const ANNOUNCE_INTERVAL_MS = 500;
const MS_PER_S = 1000;

/**
 * The rate of requests that a target names for all instances together: a token
 * bucket from which each instance takes what it sends and what it hears that
 * others sent. It may fall below zero, as instances send at the same time; each
 * leaves some of a request's worth in it, drawn anew after each of its own, so
 * that they seldom do.
 *
 * @public
 */
export class TargetRateLimit {
  private ratePerS = Infinity;
  private namedAtMs = -Infinity;
  private announcedAtMs = -Infinity;
  /** Requests that may be sent. */
  private readonly bucket = TokenBucket.create();
  /** What has to be left, 0 to 1. */
  private reserve: number;

  private constructor(private readonly random: () => number) {
    this.reserve = random();
  }

  /** @param random - draws a number from 0 up to 1 */
  static create(random: () => number): TargetRateLimit {
    return new TargetRateLimit(random);
  }

  /** Requests a second, or Infinity without a limit. */
  rate(nowMs: number): number {
    return nowMs - this.namedAtMs < EXPIRY_MS ? this.ratePerS : Infinity;
  }

  isInForce(nowMs: number): boolean {
    return this.rate(nowMs) < Infinity;
  }

  /** Whether a request may be sent now. */
  isUsable(nowMs: number): boolean {
    return this.availableAtMs(nowMs) <= nowMs;
  }

  /** When the next request may be sent; not after `nowMs` if it may be now. */
  availableAtMs(nowMs: number): number {
    if (!this.isInForce(nowMs)) return nowMs;
    return this.bucket.holdsAtMs(1 + this.reserve, nowMs);
  }

  /**
   * Records that the target, or a peer, names its rate. Returns whether the
   * peers should hear of it.
   */
  onNamed(ratePerS: number, nowMs: number): boolean {
    const rate = Math.max(MIN_RATE_PER_S, ratePerS);
    const hasChanged = this.rate(nowMs) !== rate;
    if (!this.isInForce(nowMs)) this.bucket.empty(nowMs);
    const most = Math.max(MIN_BURST, (rate * BURST_MS) / MS_PER_S);
    this.bucket.setRate(rate, most, nowMs);
    this.ratePerS = rate;
    this.namedAtMs = nowMs;
    const isDue = nowMs - this.announcedAtMs >= ANNOUNCE_INTERVAL_MS;
    if (!hasChanged && !isDue) return false;
    this.announcedAtMs = nowMs;
    return true;
  }

  /**
   * Records a response that names no rate. Returns whether that lifted the
   * limit.
   */
  onNotNamed(nowMs: number): boolean {
    if (!this.isInForce(nowMs)) return false;
    if (nowMs - this.namedAtMs < LIFT_AFTER_MS) return false;
    this.lift();
    return true;
  }

  /** Ends the limit, as a peer heard. */
  lift(): void {
    this.ratePerS = Infinity;
  }

  /** Records a request that was sent here. */
  onSent(nowMs: number): void {
    this.reserve = this.random();
    this.onPeersSent(1, nowMs);
  }

  /** Records requests that peers sent. */
  onPeersSent(count: number, nowMs: number): void {
    if (!this.isInForce(nowMs)) return;
    const least = -(this.ratePerS * MAX_DEBT_MS) / MS_PER_S;
    this.bucket.take(count, least, nowMs);
  }
}

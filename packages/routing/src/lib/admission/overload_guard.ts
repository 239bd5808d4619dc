/**
 * Tells when an instance itself is the bottleneck. Answers the load of one
 * customer whose callers all reach the same instance: connections wait to be
 * accepted for seconds, and every request on it is late. Refused callers reach
 * other instances with their next try; those of customers that send little
 * are served here all the same.
 */
import {ArrivalShares} from './arrival_shares.js';

/** What a sample of the event loop shows. @public */
export interface EventLoopSample {
  /** By how much a timer was late, in milliseconds. */
  readonly lagMs: number;
  /** Part of the time since the last sample that was not idle, 0 to 1. */
  readonly busyFraction: number;
}

/** Lag of the event loop from which new requests are refused. */
const LAG_LIMIT_MS = 120;
/**
 * The same for its busy part: connections that wait to be accepted do not
 * make timers late, since one is accepted in each turn of the loop.
 */
const BUSY_FRACTION_LIMIT = 0.95;
/** Weight of a new sample; one alone, as after a pause, changes nothing. */
const SAMPLE_WEIGHT = 0.25;
const MAX_SAMPLE_MS = 400;
/** Part of the requests that is served all the same, so that work goes on. */
const SERVED_FRACTION = 0.25;
const MIN_RETRY_AFTER_S = 0.05;
const RETRY_AFTER_SPREAD_S = 0.25;

/** @public */
export class OverloadGuard {
  private smoothedLagMs = 0;
  private smoothedBusyFraction = 0;
  private readonly shares = ArrivalShares.create();

  private constructor() {}

  static create(): OverloadGuard {
    return new OverloadGuard();
  }

  /** Lag of the event loop, smoothed, in milliseconds. */
  get lagMs(): number {
    return this.smoothedLagMs;
  }

  /** Part of the time that the event loop is busy, smoothed, 0 to 1. */
  get busyFraction(): number {
    return this.smoothedBusyFraction;
  }

  /** Whether new requests are refused, but for a part of them. */
  get isOverloaded(): boolean {
    return this.smoothedLagMs > LAG_LIMIT_MS || this.smoothedBusyFraction > BUSY_FRACTION_LIMIT;
  }

  onSample({lagMs, busyFraction}: EventLoopSample): void {
    const sampleMs = Math.min(lagMs, MAX_SAMPLE_MS);
    this.smoothedLagMs += SAMPLE_WEIGHT * (sampleMs - this.smoothedLagMs);
    this.smoothedBusyFraction += SAMPLE_WEIGHT * (busyFraction - this.smoothedBusyFraction);
  }

  /** Whether a request that arrives now is refused; call it once for each. */
  shouldRefuse(customer: string, nowMs: number): boolean {
    const {shares, isOverloaded} = this;
    shares.onArrival(customer, nowMs);
    if (isOverloaded && !shares.isWithinShare(customer, SERVED_FRACTION, nowMs)) {
      return true;
    }
    shares.onAdmitted(customer, nowMs);
    return false;
  }

  /**
   * Seconds after which a refused caller may come back; it is short, since
   * other instances have room.
   *
   * @param spread - from 0 up to 1
   */
  retryAfterS(spread: number): number {
    return MIN_RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * spread;
  }
}

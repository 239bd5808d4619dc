import {OverloadHealth} from '../health/overload_health.js';
import {ArrivalShares} from './arrival_shares.js';
import {honoredRetryAfterMs} from './retry_after.js';

/** A sample of the event loop's load. @public */
export interface EventLoopSample {
  /** How late a timer fired, in milliseconds. */
  readonly lagMs: number;
  /** Fraction of the time since the last sample that was not idle, 0 to 1. */
  readonly busyFraction: number;
  /** How long a caller's new connection waits, in milliseconds. */
  readonly listenerDelayMs: number;
}

/** What the time depends on after which a refused caller may retry. @public */
export interface RefusedCaller {
  /** Time until the balancer has noticed, see `RotationNotice`. */
  readonly noticeLeftMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Random number from 0 (inclusive) to 1, spreads the retries. */
  readonly spread: number;
}

/** Event loop lag above which new requests are refused. */
const LAG_LIMIT_MS = 120;
/**
 * Busy fraction above which new requests are refused. Lag alone does not show a
 * long accept queue, since the loop accepts one connection per turn and its
 * timers stay on time.
 */
const BUSY_LIMIT = 0.95;
/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.25;
/** Limits a sample, so that one long pause alone does not count as overload. */
const MAX_SAMPLE_MS = 400;
/**
 * Fraction of requests served despite overload. A refusal costs a good part of
 * what serving the request does, and its caller soon returns.
 */
const MAX_SERVED_FRACTION = 0.75;
/** The same if an overload with late connections lasts for `ROTATION_MS`. */
const MIN_SERVED_FRACTION = 0.25;
/** Callers leave after a second. */
const LISTENER_DELAY_LIMIT_MS = 500;
/** By then the balancer sends the new connections to other instances. */
const ROTATION_MS = 2500;
const MIN_RETRY_AFTER_MS = 50;
/** Longest random time added, so that refused callers do not retry together. */
const RETRY_AFTER_SPREAD_MS = 250;

/**
 * Detects when the instance itself is the bottleneck, and decides which new
 * requests it refuses then. This happens when all callers of one customer reach
 * the same instance: connections wait seconds to be accepted, and every request
 * on it is late. Refused callers reach other instances once the balancer has
 * taken this one out, see `OverloadHealth`. Customers with few requests are still
 * served here.
 *
 * @public
 */
export class OverloadGuard {
  private smoothedLagMs = 0;
  private smoothedBusy = 0;
  /** Since when new connections have waited too long in the present overload. */
  private lateSinceMs: number | undefined;
  private readonly shares = ArrivalShares.create();
  private readonly health = OverloadHealth.create();

  private constructor() {}

  static create(): OverloadGuard {
    return new OverloadGuard();
  }

  /** Smoothed lag of the event loop, in milliseconds. */
  get lagMs(): number {
    return this.smoothedLagMs;
  }

  /** Smoothed fraction of the time that the event loop is busy, 0 to 1. */
  get busyFraction(): number {
    return this.smoothedBusy;
  }

  /** Whether the balancer may send new connections, see `OverloadHealth`. */
  get isHealthy(): boolean {
    return this.health.isHealthy;
  }

  /** Whether the instance refuses a part of the new requests. */
  get isOverloaded(): boolean {
    return this.smoothedLagMs > LAG_LIMIT_MS || this.smoothedBusy > BUSY_LIMIT;
  }

  /** Adds a sample to the moving averages; call it at regular intervals. */
  onSample(
    {lagMs, busyFraction, listenerDelayMs}: EventLoopSample,
    nowMs: number
  ): void {
    const sampleMs = Math.min(lagMs, MAX_SAMPLE_MS);
    this.smoothedLagMs += SAMPLE_WEIGHT * (sampleMs - this.smoothedLagMs);
    this.smoothedBusy += SAMPLE_WEIGHT * (busyFraction - this.smoothedBusy);
    this.onListenerDelay(listenerDelayMs, nowMs);
    this.health.onSample(this, nowMs);
  }

  /** Records since when new connections wait too long in an overload. */
  private onListenerDelay(delayMs: number, nowMs: number): void {
    if (!this.isOverloaded) this.lateSinceMs = undefined;
    else if (delayMs > LISTENER_DELAY_LIMIT_MS) this.lateSinceMs ??= nowMs;
  }

  /** The fraction of requests that is served if the instance is overloaded. */
  private servedFraction(nowMs: number): number {
    const lateMs = nowMs - (this.lateSinceMs ?? nowMs);
    return lateMs > ROTATION_MS ? MIN_SERVED_FRACTION : MAX_SERVED_FRACTION;
  }

  /**
   * Counts a request that arrives now and returns whether to refuse it. Call it
   * exactly once per request.
   */
  shouldRefuse(customer: string, nowMs: number): boolean {
    const {shares, isOverloaded} = this;
    shares.onArrival(customer, nowMs);
    if (
      isOverloaded &&
      !shares.isWithinShare(customer, this.servedFraction(nowMs), nowMs)
    ) {
      return true;
    }
    shares.onAdmitted(customer, nowMs);
    return false;
  }

  /**
   * Returns the seconds after which a refused caller may retry: once the balancer
   * sends its new connections to other instances, which have room.
   */
  retryAfterS({noticeLeftMs, leftMs, spread}: RefusedCaller): number {
    const spreadMs = RETRY_AFTER_SPREAD_MS * spread;
    const retryAfterMs = noticeLeftMs + MIN_RETRY_AFTER_MS + spreadMs;
    return honoredRetryAfterMs(retryAfterMs, leftMs, spread) / 1000;
  }
}

import {startResponseTimer} from './deadline_timer.js';

import type {ExchangeBody} from './exchange_body.js';

/**
 * The time for which the call of an exchange needs the request's body: until the
 * exchange ends, or longer if the call runs on after its caller has left.
 *
 * @internal
 */
export class CallLifetime {
  /** Whether the call has not ended. */
  private isOpen = false;
  /** Ends the call at the deadline if it runs on. */
  private runOnTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly body: ExchangeBody) {}

  static create(body: ExchangeBody): CallLifetime {
    return new CallLifetime(body);
  }

  get isCallOpen(): boolean {
    return this.isOpen;
  }

  onCallOpened(): void {
    this.isOpen = true;
  }

  /**
   * Lets the call go on after the exchange, up to its deadline.
   *
   * @param leftMs - time until the deadline
   */
  runOn(abort: () => void, leftMs: number): void {
    const onDeadline = () => {
      abort();
      this.onCallEnded();
    };
    this.runOnTimer = startResponseTimer(onDeadline, leftMs);
  }

  /** Frees the body if the exchange has ended before the call. */
  onCallEnded(): void {
    this.isOpen = false;
    if (this.runOnTimer === undefined) return;
    clearTimeout(this.runOnTimer);
    this.body.free();
  }

  onExchangeEnded(): void {
    if (this.runOnTimer === undefined) this.body.free();
  }
}

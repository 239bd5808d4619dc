import {performance} from 'node:perf_hooks';
import {EventThrottle} from '@applebend/utils';

import type {OverloadGuard} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

const SAMPLE_MS = 50;
/** Minimum time between log lines. */
const MIN_LOG_INTERVAL_MS = 1000;

/**
 * Samples the lag and the utilization of the event loop for an overload guard,
 * and logs when overload starts or ends, at most once a second.
 *
 * @public
 */
export class LoopMonitor {
  private lastUtilization = performance.eventLoopUtilization();
  private timer: NodeJS.Timeout | undefined;
  private lastLoggedState = false;
  private readonly changes = EventThrottle.create(MIN_LOG_INTERVAL_MS);

  private constructor(
    private readonly guard: OverloadGuard,
    private readonly listenerDelayMs: () => number,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {}

  static create(
    guard: OverloadGuard,
    listenerDelayMs: () => number,
    clock: Clock,
    log: Logger
  ): LoopMonitor {
    return new LoopMonitor(guard, listenerDelayMs, clock, log);
  }

  /** Takes samples until `stop` is called. */
  start(): void {
    const dueMs = this.clock.monotonicMs() + SAMPLE_MS;
    this.timer = setTimeout(() => {
      this.onSample(this.clock.monotonicMs() - dueMs);
      this.start();
    }, SAMPLE_MS);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private onSample(lagMs: number): void {
    const {guard, clock, log} = this;
    const before = this.lastUtilization;
    this.lastUtilization = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(
      this.lastUtilization,
      before
    );
    const nowMs = clock.monotonicMs();
    const listenerDelayMs = this.listenerDelayMs();
    guard.onSample({lagMs, busyFraction: utilization, listenerDelayMs}, nowMs);
    const {isOverloaded} = guard;
    if (isOverloaded === this.lastLoggedState) return;
    if (this.changes.onEvent(nowMs) === 0) return;
    this.lastLoggedState = isOverloaded;
    const {busyFraction: busyPart} = guard;
    log.warn('event loop overload changed', {isOverloaded, lagMs, busyPart});
  }
}

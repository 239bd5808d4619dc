/** What a customer gets whose callers the balancer sends to one small instance. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './lib/admission/overload_guard.js';
import {RotationNotice} from './lib/admission/rotation_notice.js';
import {Random} from '@applebend/utils';

/** New requests of the customer; a refused one is sent once more. */
const REQUESTS_PER_S = 180;
const DURATION_MS = 14_000;
const SAMPLE_MS = 50;
/** Time that an instance of a third of a core takes for a served request. */
const SERVED_COST_MS = 7.7;
const REFUSED_COST_MS = 3.1;
/** Callers leave a request that has not been read by then. */
const PATIENCE_MS = 1000;
const LATENCY_TARGET_MS = 800;
const DEADLINE_MS = 3000;
const CHECK_INTERVAL_MS = 1000;
/** Failed checks after which the balancer sends no new connections. */
const MAX_FAILED_CHECKS = 2;
/** Calm seconds in which a customer must not get too little in each. */
const WINDOW_S = 6;
const OWED_FRACTION = 0.5;

interface Arrival {
  readonly atMs: number;
  readonly deadlineAtMs: number;
  readonly isRetry: boolean;
}

class Instance {
  readonly guard = OverloadGuard.create();
  readonly notice = RotationNotice.create();
  readonly queue: Arrival[] = [];
  failedChecks = 0;
  private freeAtMs = 0;
  private busyMs = 0;

  get isInRotation(): boolean {
    return this.failedChecks < MAX_FAILED_CHECKS;
  }

  sample(nowMs: number): void {
    const busyFraction = Math.min(1, this.busyMs / SAMPLE_MS);
    this.busyMs = 0;
    const listenerDelayMs = nowMs - (this.queue[0]?.atMs ?? nowMs);
    this.guard.onSample({lagMs: 0, busyFraction, listenerDelayMs}, nowMs);
  }

  check(nowMs: number): void {
    const {isHealthy} = this.guard;
    this.notice.onCheck(isHealthy, nowMs);
    this.failedChecks = isHealthy ? 0 : this.failedChecks + 1;
  }

  /** Works for a millisecond; calls back with each request that it takes up. */
  run(
    nowMs: number,
    onTaken: (arrival: Arrival, isServed: boolean) => void
  ): void {
    while (this.freeAtMs <= nowMs) {
      const arrival = this.queue.shift();
      if (arrival === undefined) break;
      // A caller that has left is noticed before its request is served.
      const isPresent = nowMs - arrival.atMs <= PATIENCE_MS;
      const isServed = !this.guard.shouldRefuse('large', nowMs) && isPresent;
      const costMs = isServed ? SERVED_COST_MS : REFUSED_COST_MS;
      this.freeAtMs = Math.max(this.freeAtMs, nowMs) + costMs;
      onTaken(arrival, isServed);
    }
    if (this.freeAtMs > nowMs) this.busyMs += 1;
  }
}

interface SecondTotals {
  asked: number;
  begun: number;
  /** Refused, given up unread, or begun after the latency target. */
  waited: number;
}

/** Simulates the load in virtual time; returns what each second showed. */
function simulate(instanceCount: number): SecondTotals[] {
  const random = Random.create(7);
  const instances = Array.from({length: instanceCount}, () => new Instance());
  const seconds = Array.from({length: DURATION_MS / 1000}, () => ({
    asked: 0,
    begun: 0,
    waited: 0,
  }));
  const secondOf = (nowMs: number) => seconds[Math.floor(nowMs / 1000)];
  const retries: Arrival[] = [];
  const send = (arrival: Arrival) => {
    const instance = instances.find(each => each.isInRotation) ?? instances[0];
    secondOf(arrival.atMs).asked += 1;
    instance.queue.push(arrival);
  };
  const onTaken = (instance: Instance, nowMs: number) => {
    return (arrival: Arrival, isServed: boolean) => {
      const waitMs = nowMs - arrival.atMs;
      const second = secondOf(nowMs);
      const isAbandoned = waitMs > PATIENCE_MS;
      if (isServed && !isAbandoned) second.begun += 1;
      if (!isServed || waitMs > LATENCY_TARGET_MS) second.waited += 1;
      if (isServed || isAbandoned || arrival.isRetry) return;
      const {deadlineAtMs} = arrival;
      const retryAfterS = instance.guard.retryAfterS({
        noticeLeftMs: instance.notice.leftMs(nowMs),
        leftMs: deadlineAtMs - nowMs,
        spread: random.uniform(),
      });
      const atMs = Math.ceil(nowMs + 1000 * retryAfterS);
      if (atMs < deadlineAtMs && atMs < DURATION_MS) {
        retries.push({atMs, deadlineAtMs, isRetry: true});
      }
    };
  };
  let sent = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    for (; sent * 1000 <= nowMs * REQUESTS_PER_S; sent += 1) {
      const deadlineAtMs = nowMs + DEADLINE_MS;
      send({atMs: nowMs, deadlineAtMs, isRetry: false});
    }
    for (const retry of retries) if (retry.atMs === nowMs) send(retry);
    for (const instance of instances) {
      instance.run(nowMs, onTaken(instance, nowMs));
      if (nowMs % SAMPLE_MS === 0) instance.sample(nowMs);
      if (nowMs % CHECK_INTERVAL_MS === 700) instance.check(nowMs);
    }
  }
  return seconds;
}

test('a customer whose callers all reach one instance gets half of what it asks for', () => {
  const seconds = simulate(4);
  for (let from = 0; from + WINDOW_S <= seconds.length; from++) {
    const window = seconds.slice(from, from + WINDOW_S);
    if (window.some(({waited}) => waited === 0)) continue;
    const sum = (of: (second: SecondTotals) => number) =>
      window.reduce((total, second) => total + of(second), 0);
    const asked = sum(second => second.asked);
    const begun = sum(second => Math.min(second.begun, second.asked));
    assert.ok(
      begun >= OWED_FRACTION * asked,
      `from ${from} s: ${begun} of ${asked} begun`
    );
  }
});

test('an instance that one customer overloads leaves the rotation within two checks', () => {
  const instance = new Instance();
  let overloadedAtMs: number | undefined;
  for (let nowMs = 0; nowMs < 4000; nowMs += 1) {
    if (nowMs % 5 === 0) {
      const deadlineAtMs = nowMs + DEADLINE_MS;
      instance.queue.push({atMs: nowMs, deadlineAtMs, isRetry: false});
    }
    instance.run(nowMs, () => undefined);
    if (nowMs % SAMPLE_MS === 0) instance.sample(nowMs);
    if (instance.guard.isOverloaded) overloadedAtMs ??= nowMs;
    if (nowMs % CHECK_INTERVAL_MS === 700) instance.check(nowMs);
    if (instance.isInRotation) continue;
    assert.ok(overloadedAtMs !== undefined);
    assert.ok(nowMs - overloadedAtMs <= MAX_FAILED_CHECKS * CHECK_INTERVAL_MS);
    return;
  }
  assert.fail('it stayed in the rotation');
});

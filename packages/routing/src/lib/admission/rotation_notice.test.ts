import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './overload_guard.js';
import {RotationNotice} from './rotation_notice.js';

/** The balancer checks so often, and acts on the second failed check. */
const CHECK_MS = 1000;
const DEADLINE_MS = 15_000;

test('a caller that an overloaded instance refuses comes back when the balancer sends it elsewhere', () => {
  const guard = OverloadGuard.create();
  const notice = RotationNotice.create();
  const retryAtMs = (nowMs: number, spread: number) => {
    const noticeLeftMs = notice.leftMs(nowMs);
    const leftMs = DEADLINE_MS - nowMs;
    return nowMs + 1000 * guard.retryAfterS({noticeLeftMs, leftMs, spread});
  };
  notice.onCheck(true, 0);
  assert.ok(retryAtMs(100, 0) > 100 + 2 * CHECK_MS);
  notice.onCheck(false, CHECK_MS);
  for (const nowMs of [1000, 1400, 1900]) {
    assert.ok(retryAtMs(nowMs, 0) > 2 * CHECK_MS, `refused at ${nowMs} ms`);
    assert.ok(retryAtMs(nowMs, 1) > retryAtMs(nowMs, 0));
  }
  notice.onCheck(false, 2 * CHECK_MS);
  assert.ok(retryAtMs(2500, 1) <= 2500 + 300, 'others have room');
});

test('a caller is told no time to come back that it would ignore', () => {
  const guard = OverloadGuard.create();
  const noticeLeftMs = RotationNotice.create().leftMs(0);
  for (const spread of [0, 0.5, 1]) {
    const retryAfterS = guard.retryAfterS({noticeLeftMs, leftMs: 900, spread});
    assert.ok(retryAfterS <= 0.3, `${retryAfterS} s`);
  }
});

test('an instance that is ready again has to be noticed anew', () => {
  const notice = RotationNotice.create();
  notice.onCheck(false, 0);
  assert.equal(notice.leftMs(3000), 0);
  notice.onCheck(true, 3000);
  assert.ok(notice.leftMs(3500) > 2 * CHECK_MS);
});

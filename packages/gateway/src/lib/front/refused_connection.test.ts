import assert from 'node:assert/strict';
import {test} from 'node:test';
import {systemClock} from '@applebend/utils';
import {ExchangeRig} from '../../testing/exchange_rig.js';

/** A little longer than the first ejection of a target. */
const EJECTION_MS = 450;

test('one refused connection ejects a target once, not twice as long', async () => {
  const rig = await ExchangeRig.create();
  const usable: boolean[] = [];
  const onEnd = () => {
    const nowMs = systemClock.monotonicMs();
    const {health} = rig.record;
    usable.push(health.isUsable(nowMs), health.isUsable(nowMs + EJECTION_MS));
  };
  await rig.exchange({onEnd});
  assert.deepEqual(usable, [false, true]);
});

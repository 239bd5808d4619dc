import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fairnessWindows} from './fairness_windows.js';

import type {SecondUsage} from './fairness_windows.js';

const steady = (
  requested: number,
  admitted: number,
  seconds: number
): SecondUsage[] =>
  Array.from({length: seconds}, () => ({
    requested,
    admitted,
    wasRefused: admitted < requested,
  }));

test('a customer is owed half of what it requests or the best one gets', () => {
  const timeline = new Map([
    ['large', steady(1000, 400, 4)],
    ['refused', steady(500, 100, 4)],
    ['modest', steady(60, 30, 4)],
  ]);
  const windows = fairnessWindows(timeline, 4);
  const ratioOf = (name: string) =>
    windows.find(({customer}) => customer === name)?.ratio;
  assert.equal(ratioOf('refused'), 0.5, 'half of 400 a second is owed');
  assert.equal(ratioOf('modest'), 1, 'half of the 60 that it requests is owed');
  assert.equal(ratioOf('large'), 8, 'half of 100 a second is owed');
});

test('a window counts only if a request is refused in each second', () => {
  const usage = steady(500, 100, 8);
  usage[3] = {requested: 500, admitted: 500, wasRefused: false};
  const timeline = new Map([
    ['refused', usage],
    ['served', steady(400, 400, 8)],
  ]);
  const windows = fairnessWindows(timeline, 4);
  assert.deepEqual(
    windows.map(({customer, second}) => [customer, second]),
    [['refused', 4]]
  );
});

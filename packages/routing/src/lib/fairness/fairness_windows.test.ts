import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fairnessWindows} from './fairness_windows.js';

import type {SecondUsage} from './fairness_windows.js';

const steady = (asked: number, given: number, seconds: number): SecondUsage[] =>
  Array.from({length: seconds}, () => ({
    requested: asked,
    admitted: given,
    wasRefused: given < asked,
  }));

test('a customer is owed half of what it asked or the best got', () => {
  const timeline = new Map([
    ['large', steady(1000, 400, 4)],
    ['waiting', steady(500, 100, 4)],
    ['modest', steady(60, 30, 4)],
  ]);
  const windows = fairnessWindows(timeline, 4);
  const ratioOf = (name: string) =>
    windows.find(({customer}) => customer === name)?.ratio;
  assert.equal(ratioOf('waiting'), 0.5, 'half of 400 a second is owed');
  assert.equal(ratioOf('modest'), 1, 'half of the 60 that it asks is owed');
  assert.equal(ratioOf('large'), 8, 'half of 100 a second is owed');
});

test('only windows in which a customer waits all through count', () => {
  const uses = steady(500, 100, 8);
  uses[3] = {requested: 500, admitted: 500, wasRefused: false};
  const timeline = new Map([
    ['waiting', uses],
    ['served', steady(400, 400, 8)],
  ]);
  const windows = fairnessWindows(timeline, 4);
  assert.deepEqual(
    windows.map(({customer, second}) => [customer, second]),
    [['waiting', 4]]
  );
});

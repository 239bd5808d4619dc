import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {FirstEventModel} from './first_event_model.js';

/** Returns a model that has observed requests of engines with these times. */
function fit(fixedMs: number, msPerToken: number, seed: number) {
  const random = Random.create(seed);
  const model = FirstEventModel.create();
  for (let i = 0; i < 400; i++) {
    const tokens = random.int(0, 15_000);
    const noiseMs = random.exponential(15);
    model.observe(tokens, fixedMs + tokens * msPerToken + noiseMs);
  }
  return model;
}

test('the model fits the prefill rates of fast and slow engines', () => {
  for (const msPerToken of [0.006, 0.018, 0.09]) {
    const model = fit(40, msPerToken, 7);
    const fitted = model.prefillMs(10_000) / 10_000;
    assert.ok(Math.abs(fitted / msPerToken - 1) < 0.1, `${fitted}`);
  }
});

test('the model follows engines that slow down', () => {
  const model = fit(40, 0.018, 3);
  for (let i = 0; i < 600; i++) model.observe(8000, 40 + 8000 * 0.06);
  const predictedMs = model.baseMs + model.prefillMs(8000);
  assert.ok(Math.abs(predictedMs - 520) < 60, `${predictedMs}`);
});

test('absurd observations leave the model within its bounds', () => {
  const model = FirstEventModel.create();
  const random = Random.create(11);
  for (let i = 0; i < 2000; i++) {
    model.observe(random.int(0, 1) * 100_000, random.uniform() * 1e6);
    const ms = model.prefillMs(1000);
    assert.ok(Number.isFinite(ms) && ms >= 2 && ms <= 200);
    assert.ok(model.baseMs >= 5 && model.baseMs <= 400);
  }
});

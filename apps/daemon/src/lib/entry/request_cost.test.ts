import assert from 'node:assert/strict';
import {test} from 'node:test';
import {costSoFar, finalCost, tokenTimesOf} from './request_cost.js';

import type {CostedRequest, StreamFigures} from './request_cost.js';

const ESTIMATE = 500;
const BODY = Buffer.alloc(40);

/** Only the fields that the cost depends on. */
function requestOf(service: 'model' | 'plain'): CostedRequest {
  const template = {inputTokenCost: 1, outputTokenCost: 4};
  const call = service === 'model' ? {stream: true} : undefined;
  const request = {customer: {template}, call, estimate: ESTIMATE, body: BODY};
  return request as unknown as CostedRequest;
}

const STREAM: StreamFigures = {
  inputTokens: undefined,
  outputTokens: 3,
  firstTokenMs: 200,
  betweenTokensMs: 20,
};

/** Guards against running calls that are charged for output only. */
test('input tokens are estimated until the engine has sent them', () => {
  const request = requestOf('model');
  const estimated = costSoFar(request, {...STREAM, outputTokens: 0});
  assert.ok(estimated > 0);
  assert.equal(costSoFar(request, STREAM), estimated + 3 * 4);
  assert.equal(costSoFar(request, {...STREAM, inputTokens: 7}), 7 + 3 * 4);
});

/** Guards against plain services that are charged by tokens they lack. */
test('a plain service costs its estimate', () => {
  const request = requestOf('plain');
  assert.equal(costSoFar(request, STREAM), ESTIMATE);
  const usage = {inputTokens: 7, outputTokens: 3};
  assert.equal(finalCost(request, usage), ESTIMATE);
});

/** Guards against answers without usage that are free of charge. */
test('a complete response costs its usage, or the estimate without one', () => {
  const request = requestOf('model');
  assert.equal(finalCost(request, {inputTokens: 7, outputTokens: 3}), 19);
  assert.equal(finalCost(request, undefined), ESTIMATE);
});

/** Guards against limits that adapt to the times of empty responses. */
test('a response without tokens has no token times', () => {
  assert.equal(tokenTimesOf({...STREAM, outputTokens: 0}), undefined);
  assert.deepEqual(tokenTimesOf(STREAM), {
    firstTokenMs: 200,
    betweenTokensMs: 20,
  });
});

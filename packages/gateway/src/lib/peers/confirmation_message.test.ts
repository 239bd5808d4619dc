import assert from 'node:assert/strict';
import {test} from 'node:test';
import {unpack} from 'msgpackr';
import {sampleTarget} from '../../testing/sample_target.js';
import {
  decodeConfirmationResponse,
  encodeConfirmationResponse,
} from './confirmation_message.js';

const STATE = {
  storeEra: 2,
  configVersion: 7,
  targetsKey: 8,
  targets: [sampleTarget()],
  targetsAgeMs: 40,
  restoredBefore: 5,
};
const EVACUATIONS = {domains: ['hall-a', 'hall-b'], asOf: 12, storeEra: 2};

const wireOf = (targetsKey: number, evacuations?: typeof EVACUATIONS) =>
  unpack(
    encodeConfirmationResponse({nonce: 3, targetsKey}, STATE, evacuations)
  ) as unknown[];

test('a response carries the evacuations, with and without the target list', () => {
  assert.deepEqual(decodeConfirmationResponse(wireOf(1, EVACUATIONS)), {
    nonce: 3,
    state: STATE,
    evacuations: EVACUATIONS,
  });
  assert.deepEqual(decodeConfirmationResponse(wireOf(8, EVACUATIONS)), {
    nonce: 3,
    state: {...STATE, targets: undefined},
    evacuations: EVACUATIONS,
  });
});

test('a response of an older instance, without evacuations, is understood', () => {
  const wire = wireOf(1, EVACUATIONS).slice(0, 8);
  assert.deepEqual(decodeConfirmationResponse(wire), {
    nonce: 3,
    state: STATE,
    evacuations: undefined,
  });
  const unknown = decodeConfirmationResponse(wireOf(1));
  assert.equal(unknown?.evacuations, undefined);
});

test('a response with malformed evacuations confirms nothing', () => {
  const wire = wireOf(1, EVACUATIONS);
  for (const faulty of [
    {},
    [],
    [1, 2],
    [1, 2, 'a'],
    [1, 2, [3]],
    ['1', 2, []],
  ]) {
    const response = decodeConfirmationResponse([...wire.slice(0, 8), faulty]);
    assert.equal(response, undefined);
  }
});

test('a response with a target that cannot be used confirms nothing', () => {
  const wire = wireOf(1, EVACUATIONS);
  const list = wire.findIndex(Array.isArray);
  for (const fault of [{port: 70_000}, {port: 0}, {host: 'host'}, {id: 1}]) {
    const targets = [sampleTarget(), {...sampleTarget(), ...fault}];
    const faulty = wire.with(list, targets);
    assert.equal(decodeConfirmationResponse(faulty), undefined);
  }
});

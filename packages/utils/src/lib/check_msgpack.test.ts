import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isBoundedMsgpack} from './check_msgpack.js';

const OK_DEPTH = 16;

test('announced lengths that the bytes cannot hold are refused', () => {
  const cases = [
    'dd000f4240',
    'dc000201',
    'df0000000101',
    'de000101',
    '8101',
    '9201',
    'a26f',
    'd90561',
    'c4056161',
    'c600000005',
    'cb00',
    'dd0000',
    // Each header fits in the rest, but the two together do not.
    '92930101',
    '',
  ];
  for (const hex of cases) {
    assert.equal(isBoundedMsgpack(Buffer.from(hex, 'hex')), false, hex);
  }
});

test('nesting is bounded, so that a decoder does not exhaust its stack', () => {
  const nested = (depth: number) =>
    Buffer.alloc(depth + 1, 0x91).fill(0, depth);
  assert.equal(isBoundedMsgpack(nested(OK_DEPTH)), true);
  assert.equal(isBoundedMsgpack(nested(OK_DEPTH + 1)), false);
});

test('extensions that change how later bytes are read are refused', () => {
  assert.equal(isBoundedMsgpack(Buffer.from('d40000', 'hex')), true);
  // A record definition of msgpackr and a larger extension.
  assert.equal(isBoundedMsgpack(Buffer.from('d47240', 'hex')), false);
  assert.equal(isBoundedMsgpack(Buffer.from('c70172ff', 'hex')), false);
});

/** Guards against an exception in one exchange that ends the process. */
import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
import {BodyMemory} from '@applebend/routing';
import {ExchangeRig, SAMPLE_HEAD} from '../../testing/exchange_rig.js';

import type {ExchangeChange} from '../../testing/exchange_rig.js';

const fault = (): never => {
  throw new RangeError('a fault');
};

/** Answers each request in full. */
function startTarget(): Promise<http.Server> {
  const target = http.createServer((_req, res) => res.end('body'));
  return new Promise(resolve => {
    target.listen(0, '127.0.0.1', () => resolve(target));
  });
}

test('a fault before the request is sent is a refusal, and frees the target', async () => {
  const rig = await ExchangeRig.create(await startTarget());
  try {
    const {status} = await rig.exchange({
      codec: {encodeTargetRequest: fault},
    });
    assert.equal(status, 503);
    assert.deepEqual(rig.faults, ['a fault']);
    assert.equal(rig.running, 0);
  } finally {
    rig.close();
  }
});

test('a fault while a connection opens is a refusal, and frees the target', async () => {
  const rig = await ExchangeRig.create(await startTarget());
  try {
    rig.state.targets.mayGetRequests = fault;
    const {status} = await rig.exchange();
    assert.equal(status, 503);
    assert.deepEqual(rig.faults, ['a fault']);
    assert.equal(rig.running, 0);
  } finally {
    rig.close();
  }
});

test('a fault while the response is read is no promise, and frees the target', async () => {
  const rig = await ExchangeRig.create(await startTarget());
  try {
    const {status} = await rig.exchange({
      codec: {decodeTargetResponse: fault},
    });
    assert.equal(status, 502);
    assert.deepEqual(rig.faults, ['a fault']);
    assert.equal(rig.running, 0);
  } finally {
    rig.close();
  }
});

test('a response that cannot be written ends the connection of its caller only', async () => {
  const rig = await ExchangeRig.create(await startTarget());
  try {
    const invalid = {...SAMPLE_HEAD, headers: ['Name', 'line\nbreak']};
    const {status} = await rig.exchange({
      codec: {decodeTargetResponse: () => invalid},
    });
    assert.equal(status, 502);
    assert.equal(rig.faults.length, 1);
    assert.equal(rig.running, 0);
    const next = await rig.exchange({
      codec: {decodeTargetResponse: () => SAMPLE_HEAD},
    });
    assert.equal(next.status, 200);
  } finally {
    rig.close();
  }
});

test('a fault in the report of an exchange leaves its response whole', async () => {
  const rig = await ExchangeRig.create(await startTarget());
  try {
    const {status} = await rig.exchange({
      codec: {decodeTargetResponse: () => SAMPLE_HEAD},
      onEnd: fault,
    });
    assert.equal(status, 200);
    assert.deepEqual(rig.faults, ['a fault']);
    assert.equal(rig.running, 0);
  } finally {
    rig.close();
  }
});

test('a fault at any point of an exchange leaves no bytes of its body counted', async () => {
  const changes: ExchangeChange[] = [
    {codec: {encodeTargetRequest: fault}},
    {codec: {decodeTargetResponse: fault}},
    {codec: {decodeTargetResponse: () => SAMPLE_HEAD}, onEnd: fault},
    {onPlaced: fault},
  ];
  for (const change of changes) {
    const rig = await ExchangeRig.create(await startTarget());
    const memory = BodyMemory.create(1000);
    const bodyClaim = memory.claim('one');
    assert.ok(bodyClaim.growTo(400));
    try {
      await rig.exchange({...change, bodyClaim});
      assert.deepEqual(rig.faults, ['a fault']);
      assert.equal(memory.heldBytes, 0);
    } finally {
      rig.close();
    }
  }
});

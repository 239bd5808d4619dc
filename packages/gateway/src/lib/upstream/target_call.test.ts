import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
import {ExchangeRig} from '../../testing/exchange_rig.js';

import type {Duplex} from 'node:stream';

/** Fails before there is a connection, as an address out of range does. */
class FaultyAgent extends http.Agent {
  override createConnection(): Duplex {
    throw new RangeError('port out of range');
  }
}

test('a connection that cannot be opened is no fault of the instance and puts its target aside', async () => {
  const rig = await ExchangeRig.create();
  try {
    rig.agent = new FaultyAgent();
    const {status} = await rig.exchange();
    assert.equal(status, 503);
    assert.deepEqual(rig.faults, []);
    assert.equal(rig.running, 0);
    assert.equal(rig.record.health.isUsable(performance.now()), false);
  } finally {
    rig.close();
  }
});

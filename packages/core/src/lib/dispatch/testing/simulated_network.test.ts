import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SimulatedNetwork} from './simulated_network.js';

import type {Envelope} from './simulated_network.js';

function withdrawal(
  from: string,
  to: string,
  requestId: string,
  session = 0
): Envelope {
  return {
    from,
    to,
    session,
    sentAtMs: 0,
    receiver: 'dispatcher',
    message: {type: 'withdraw', cell: 'cell', requestId},
  };
}

/** Guards against a network that reorders what real links keep in order. */
test('a channel delivers in order, and channels may overtake', () => {
  const network = SimulatedNetwork.create();
  const first = withdrawal('a', 'b', 'r1');
  const second = withdrawal('a', 'b', 'r2');
  const other = withdrawal('c', 'b', 'r3');
  for (const envelope of [first, second, other]) network.send(envelope);
  assert.equal(network.receive(1), other);
  assert.equal(network.receive(0), first);
  assert.equal(network.receive(0), second);
  assert.equal(network.receive(0), undefined);
});

/** Guards against messages of an ended session that are still delivered. */
test('a replaced link loses its messages and those of its old session', () => {
  const network = SimulatedNetwork.create();
  network.send(withdrawal('a', 'b', 'r1'));
  network.replaceLink('b', 'a');
  network.send(withdrawal('a', 'b', 'r2', 0));
  assert.equal(network.receive(0), undefined);
  const current = withdrawal('a', 'b', 'r3', network.sessionOf('a', 'b'));
  network.send(current);
  assert.equal(network.receive(0), current);
});

/** Guards against a restarted instance that gets its predecessor's messages. */
test('a crash drops the messages from and to the instance', () => {
  const network = SimulatedNetwork.create();
  const kept = withdrawal('b', 'c', 'r1');
  for (const [from, to] of [
    ['a', 'b'],
    ['b', 'a'],
    ['a', 'a'],
  ] as const) {
    network.send(withdrawal(from, to, 'r2'));
  }
  network.send(kept);
  network.dropMessagesOf('a');
  assert.equal(network.receive(0), kept);
  assert.equal(network.receive(0), undefined);
});

/** Targets that leave while an instance is behind. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {ExchangeRig} from '../../testing/exchange_rig.js';

import type {Duplex} from 'node:stream';

/** Connections open late, as in an event loop that is behind. */
class LateAgent extends http.Agent {
  onConnecting = (): void => undefined;

  override createConnection(options: net.NetConnectOpts): Duplex {
    this.onConnecting();
    return net.connect(options);
  }
}

async function withTarget(
  run: (rig: ExchangeRig, receivedCount: () => number) => Promise<void>
): Promise<void> {
  let received = 0;
  const target = http.createServer((_req, res) => {
    received += 1;
    res.end();
  });
  await new Promise<void>(resolve => {
    target.listen(0, '127.0.0.1', () => resolve());
  });
  const rig = await ExchangeRig.create(target);
  try {
    await run(rig, () => received);
  } finally {
    rig.close();
  }
}

test('a list of targets that is too old is read again before a request is sent by it', () =>
  withTarget(async (rig, receivedCount) => {
    rig.source.isCurrent = false;
    rig.source.onRefresh = () => rig.readLeaving();
    const {status} = await rig.exchange();
    assert.equal(status, 503);
    assert.equal(receivedCount(), 0);
  }));

test('a target that leaves while a connection to it is opened gets no request', () =>
  withTarget(async (rig, receivedCount) => {
    const agent = new LateAgent();
    agent.onConnecting = () => rig.readLeaving();
    rig.agent = agent;
    const {status} = await rig.exchange();
    assert.equal(status, 503);
    assert.equal(receivedCount(), 0);
  }));

test('a connection that opens late sends no request by a list that became too old', () =>
  withTarget(async (rig, receivedCount) => {
    const agent = new LateAgent();
    agent.onConnecting = () => (rig.source.ageMs = 1801);
    rig.agent = agent;
    const {status} = await rig.exchange();
    assert.equal(status, 503);
    assert.equal(receivedCount(), 0);
  }));

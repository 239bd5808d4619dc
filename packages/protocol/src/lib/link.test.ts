import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {BusyMeter} from '@applebend/utils';
import {WebSocket, WebSocketServer} from 'ws';
import {Link} from './link.js';

import type {AddressInfo} from 'node:net';
import type {PeerMessage} from './messages.js';

/** One end of a link, and what its callbacks received. */
interface Side {
  readonly events: string[];
  readonly messages: PeerMessage[];
  link: Link;
}

function createSide(socket: WebSocket, instance: string, secret: string): Side {
  const events: string[] = [];
  const messages: PeerMessage[] = [];
  const link = Link.create(socket, {
    identity: {instance, incarnation: `${instance}-1`},
    secret,
    busyMeter: BusyMeter.create(),
    events: {
      onOpen: peer => events.push(`open ${peer.instance}`),
      onMessages: received => messages.push(...received),
      onClose: reason => events.push(`close ${reason}`),
    },
  });
  return {events, messages, link};
}

async function withLinkPair(
  secretA: string,
  secretB: string,
  check: (a: Side, b: Side) => Promise<void>
): Promise<void> {
  const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const accepted = once(server, 'connection') as Promise<[WebSocket]>;
  const client = new WebSocket(`ws://127.0.0.1:${port}`);
  await once(client, 'open');
  const a = createSide(client, 'a', secretA);
  const b = createSide((await accepted)[0], 'b', secretB);
  try {
    await check(a, b);
  } finally {
    a.link.close('closed_here');
    b.link.close('closed_here');
    server.close();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}

test('sides with the same secret exchange messages', () =>
  withLinkPair('one secret', 'one secret', async (a, b) => {
    await waitUntil(() => a.events.length > 0 && b.events.length > 0);
    assert.deepEqual([a.events[0], b.events[0]], ['open b', 'open a']);
    const loss = {fingerprint: 'f', target: 't', seenAtMs: 1};
    a.link.send({type: 'loss', loss});
    await waitUntil(() => b.messages.length > 0);
    assert.deepEqual(b.messages, [{type: 'loss', loss}]);
  }));

test('a link between different secrets closes as unauthenticated', () =>
  withLinkPair('one secret', 'another secret', async (a, b) => {
    await waitUntil(() => a.events.length > 0 && b.events.length > 0);
    const all = [...a.events, ...b.events];
    assert.ok(all.includes('close unauthenticated'), all.join());
    assert.ok(!all.some(event => event.startsWith('open')));
  }));

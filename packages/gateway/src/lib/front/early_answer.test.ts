/** Guards against bodies that stay, uncounted, after their target has answered. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {BodyMemory} from '@applebend/routing';
import {sleep} from '@applebend/utils';
import {ExchangeRig, SAMPLE_HEAD} from '../../testing/exchange_rig.js';

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {HeaderCodec} from '../ports.js';

/** More than the buffers of a connection take, so that a part is not written. */
const BODY_BYTES = 32 * 1024 * 1024;
/** A body that is not read is dropped this long after the answer. */
const MAX_KEPT_MS = 1000;
const POLL_MS = 20;

const codec: Partial<HeaderCodec> = {
  encodeTargetRequest: () => [
    'Host',
    'target',
    'Content-Length',
    String(BODY_BYTES),
  ],
  decodeTargetResponse: () => SAMPLE_HEAD,
};

/** Answers a request once it has begun, and reads no more of it until told to. */
class EarlyTarget {
  readonly sockets: Socket[] = [];
  readonly server = net.createServer(socket => {
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
  });

  static async create(): Promise<EarlyTarget> {
    const target = new EarlyTarget();
    await new Promise<void>(resolve => {
      target.server.listen(0, '127.0.0.1', resolve);
    });
    return target;
  }

  get isClosed(): boolean {
    return this.sockets.every(({destroyed}) => destroyed);
  }

  /** Reads all that arrives. */
  readOn(): void {
    for (const socket of this.sockets) socket.resume();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** Sends a request that is answered early; returns the memory it counts in. */
async function answerEarly(target: EarlyTarget): Promise<BodyMemory> {
  const rig = await ExchangeRig.create(target.server as http.Server);
  const memory = BodyMemory.create(2 * BODY_BYTES);
  const bodyClaim = memory.claim('one');
  assert.ok(bodyClaim.growTo(BODY_BYTES));
  const body = Buffer.alloc(BODY_BYTES);
  const {status} = await rig.exchange({codec, bodyClaim, body});
  assert.equal(status, 200);
  return memory;
}

/** Waits until the memory counts no bytes, for a limited time. */
async function untilFree(memory: BodyMemory): Promise<void> {
  const endAtMs = performance.now() + MAX_KEPT_MS;
  while (memory.heldBytes > 0 && performance.now() < endAtMs) {
    await sleep(POLL_MS);
  }
  assert.equal(memory.heldBytes, 0);
}

test('a body that its target does not read after the answer is counted until it is dropped', async () => {
  const target = await EarlyTarget.create();
  try {
    const memory = await answerEarly(target);
    assert.equal(memory.heldBytes, BODY_BYTES);
    await untilFree(memory);
    target.readOn();
    await sleep(MAX_KEPT_MS);
    assert.ok(target.isClosed);
  } finally {
    target.close();
  }
});

test('a body that its target reads on after the answer is counted until it is written', async () => {
  const target = await EarlyTarget.create();
  try {
    const memory = await answerEarly(target);
    assert.equal(memory.heldBytes, BODY_BYTES);
    target.readOn();
    await untilFree(memory);
  } finally {
    target.close();
  }
});

import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {test} from 'node:test';
import {Caller} from './caller.js';
import {refusal} from './refusals.js';

import type {AddressInfo} from 'node:net';

const CHUNK = Buffer.alloc(1024 * 1024);

async function serve(
  handle: (caller: Caller) => Promise<void>,
  check: (port: number) => Promise<void>
): Promise<void> {
  const server = http.createServer((req, res) => {
    void handle(Caller.create('id', req, res, 300));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  try {
    await check((server.address() as AddressInfo).port);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

test('a caller that reads nothing is disconnected', async () => {
  let gone: AbortSignal | undefined;
  await serve(
    async caller => {
      gone = caller.gone;
      caller.startResponse(200, {});
      while (!caller.gone.aborted) await caller.write(CHUNK);
    },
    async port => {
      const socket = net.connect({port, host: '127.0.0.1'});
      socket.on('error', () => {});
      socket.pause();
      socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
      while (gone === undefined || !gone.aborted) {
        await new Promise(resolve => setTimeout(resolve, 20));
      }
      socket.destroy();
    }
  );
  assert.ok(gone?.aborted);
});

test('a started response is aborted with an error event, not ended', async () => {
  await serve(
    async caller => {
      caller.startResponse(200, {'content-type': 'text/event-stream'});
      await caller.write('data: {"x":1}\n\n');
      caller.refuse(refusal('target_lost', 'connection lost', 'ran'));
    },
    async port => {
      const res = await new Promise<http.IncomingMessage>(resolve => {
        http.get({port, host: '127.0.0.1'}, resolve);
      });
      let body = '';
      res.on('data', chunk => (body += String(chunk)));
      await new Promise(resolve => res.on('close', resolve));
      assert.equal(res.complete, false);
      assert.match(body, /event: error\ndata: .*"ran":"ran"/);
    }
  );
});

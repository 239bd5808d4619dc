import assert from 'node:assert/strict';
import http from 'node:http';
import {once} from 'node:events';
import {test} from 'node:test';
import {Tracing} from './tracing.js';

import type {AddressInfo} from 'node:net';
import type {TraceHeaders} from './tracing.js';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const TRACEPARENT = `00-${TRACE_ID}-b7ad6b7169203331-01`;

interface ExportedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly parentSpanId?: string;
}

interface ExportBody {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly {readonly spans: readonly ExportedSpan[]}[];
  }[];
}

test('each step of a request is exported as a span of the caller trace', async () => {
  const spans: ExportedSpan[] = [];
  const server = http.createServer(async (req, res) => {
    let body = '';
    for await (const chunk of req) body += String(chunk);
    for (const {scopeSpans} of (JSON.parse(body) as ExportBody).resourceSpans) {
      for (const scope of scopeSpans) spans.push(...scope.spans);
    }
    res.end('{}');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const tracing = await Tracing.create({
    otlpUrl: `http://127.0.0.1:${port}/v1/traces`,
    instance: 'entry-1',
  });
  const trace = tracing.startRequestTrace('entry', {traceparent: TRACEPARENT});
  for (const step of ['queue', 'grant', 'target', 'answer'])
    trace.startSpan(step);
  const headers: TraceHeaders = {};
  trace.inject(headers);
  trace.end();
  await tracing.shutdown();
  server.close();
  assert.match(String(headers['traceparent']), new RegExp(TRACE_ID));
  assert.deepEqual(spans.map(span => span.name).sort(), [
    'answer',
    'entry',
    'grant',
    'queue',
    'target',
  ]);
  for (const span of spans) assert.equal(span.traceId, TRACE_ID);
});

test('without an OTLP URL the caller trace is forwarded unchanged', async () => {
  const tracing = await Tracing.create({otlpUrl: undefined, instance: 'a'});
  const trace = tracing.startRequestTrace('entry', {traceparent: TRACEPARENT});
  trace.startSpan('target');
  const headers: TraceHeaders = {};
  trace.inject(headers);
  trace.end();
  assert.equal(headers['traceparent'], TRACEPARENT);
  await tracing.shutdown();
});

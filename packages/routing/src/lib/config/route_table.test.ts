import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {RETRY_SAFETY} from './fleet_config.js';
import {RouteTable} from './route_table.js';

import type {Route} from './fleet_config.js';

/** An instance delays no event of a stream for longer, whatever arrives. */
const MAX_HOLD_MS = 120;
/** The largest head that an instance accepts. */
const MAX_PATH_CHARS = 64 * 1024;

function route(host: string, pathPrefix: string): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    retrySafety: RETRY_SAFETY.idempotent,
    streaming: false,
    resumable: false,
    timeoutMs: 1000,
    latencyTargetMs: 300,
    eventGapTargetMs: 0,
    services: [{service: 's', weight: 1}],
    maxAttempts: 1,
    isPublic: true,
  };
}

test('the longest path prefix wins, and the query is ignored', () => {
  const table = RouteTable.create([
    route('a.example', '/x/'),
    route('a.example', '/x/y/'),
  ]);
  assert.equal(table.find('A.example:80', '/x/y/z')?.pathPrefix, '/x/y/');
  assert.equal(table.find('a.example', '/x/yy/z')?.pathPrefix, '/x/');
  assert.equal(table.find('a.example', '/x/1?q=/x/y/')?.pathPrefix, '/x/');
  assert.equal(table.find('a.example', '/x'), undefined);
  assert.equal(table.find('b.example', '/x/1'), undefined);
});

test('a lookup agrees with a linear search of all routes', () => {
  const prefix = fc
    .array(fc.constantFrom('a', 'b', 'ab'), {maxLength: 4})
    .map(parts => (parts.length === 0 ? '/' : `/${parts.join('/')}/`));
  const path = fc
    .array(fc.constantFrom('a', 'b', 'ab', ''), {maxLength: 6})
    .map(parts => `/${parts.join('/')}`);
  fc.assert(
    fc.property(fc.uniqueArray(prefix), path, (prefixes, url) => {
      const table = RouteTable.create(prefixes.map(p => route('h', p)));
      const longest = prefixes
        .filter(p => url.startsWith(p))
        .sort((x, y) => y.length - x.length)[0];
      assert.equal(table.find('h', url)?.pathPrefix, longest);
    })
  );
});

test('a path of slashes does not hold the event loop', () => {
  const table = RouteTable.create([route('a.example', '/x/y/')]);
  const startMs = performance.now();
  const found = table.find('a.example', '/'.repeat(MAX_PATH_CHARS));
  assert.equal(found, undefined);
  assert.ok(performance.now() - startMs < MAX_HOLD_MS);
});

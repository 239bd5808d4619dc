import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MAX_HEADER_LINES, checkHead, hasTooManyLines} from './check_head.js';

import type http from 'node:http';

test('heads that HTTP/1.1 does not allow are refused, all others are not', () => {
  const statusOf = (headers: http.IncomingHttpHeaders, httpVersion = '1.1') =>
    checkHead({headers, rawHeaders: [], httpVersion})?.status;
  assert.equal(statusOf({}), 400);
  assert.equal(statusOf({}, '1.0'), undefined);
  assert.equal(statusOf({host: 'a'}), undefined);
  // A probe of the listener has an empty one.
  assert.equal(statusOf({host: ''}), undefined);
  assert.equal(statusOf({host: 'a', expect: '100-continue'}), undefined);
  assert.equal(statusOf({host: 'a', expect: 'coffee'}), 417);
});

test('a head with a name that no field may have is refused', () => {
  const statusOf = (...rawHeaders: string[]) =>
    checkHead({headers: {host: 'a'}, rawHeaders, httpVersion: '1.1'})?.status;
  assert.equal(statusOf('Host', 'a', 'X-Name', 'b c'), undefined);
  assert.equal(statusOf('Host', 'a', 'X Name', 'b'), 400);
  assert.equal(statusOf('Host', 'a', '', 'b'), 400);
});

test('a head may have as many lines as the limit allows, but no more', () => {
  const lines = (count: number) => ({
    rawHeaders: Array<string>(2 * count).fill('a'),
  });
  assert.equal(hasTooManyLines(lines(MAX_HEADER_LINES)), false);
  assert.equal(hasTooManyLines(lines(MAX_HEADER_LINES + 1)), true);
});

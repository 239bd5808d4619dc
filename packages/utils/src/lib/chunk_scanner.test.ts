import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {ChunkScanner} from './chunk_scanner.js';

const VALID = [
  '5\r\nhello\r\n0\r\n\r\n',
  '5;name=value\r\nhello\r\n00\r\n\r\n',
  '1A\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nName: value\r\n\r\n',
  '4\r\n\r\n\r\n\r\n0\r\n\r\n',
  '0\r\n\r\nbytes behind the body\r',
];

const INVALID = [
  '5\rXhello\r\n0\r\n\r\n',
  '5\r\nhello\rX0\r\n\r\n',
  '5\r\nhelloXY0\r\n\r\n',
  '5\r\nhello\r\n0\rX\r\n',
  '5\r\nhello\r\n0\r\n\rX',
  '5\nhello\n0\n\n',
];

/** Whether chunks are valid if they arrive in two parts. */
function isValid(text: string, cutAt: number): boolean {
  const scanner = ChunkScanner.create();
  const bytes = Buffer.from(text, 'latin1');
  const parts = [bytes.subarray(0, cutAt), bytes.subarray(cutAt)];
  return parts.every(part => scanner.push(part));
}

void describe('the line breaks of chunks, however they are split', () => {
  for (const [texts, expected] of [
    [VALID, true],
    [INVALID, false],
  ] as const) {
    test(`are ${expected ? 'accepted' : 'refused'}`, () => {
      for (const text of texts) {
        for (let cutAt = 0; cutAt <= text.length; cutAt++) {
          assert.equal(isValid(text, cutAt), expected, JSON.stringify(text));
        }
      }
    });
  }
});

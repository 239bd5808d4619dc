import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import {HeadScanner} from './head_scanner.js';

const VALID = 'HTTP/1.1 200 OK\r\nName: value\r\n\r\n';

/** Each with a carriage return in front of another byte than a line feed. */
const INVALID = [
  'HTTP/1.1 200 OK\rName: value\r\n\r\n',
  'HTTP/1.1 200 OK\r\nName: val\rue\r\n\r\n',
  'HTTP/1.1 200 OK\r\n\rName: value\r\n\r\n',
  'HTTP/1.1 200 OK\r\nName: value\r\n\r\r\n',
  'HTTP/1.1 200 OK\r\nName: value\r\r\n\r\n',
];

/** Whether a text is valid if it arrives in two parts. */
function isValid(text: string, cutAt: number): boolean {
  const scanner = HeadScanner.create();
  const bytes = Buffer.from(text, 'latin1');
  const parts = [bytes.subarray(0, cutAt), bytes.subarray(cutAt)];
  return parts.every(part => scanner.push(part));
}

void describe('a bare carriage return in a head, however it is split', () => {
  test('is found in each line and in front of the body', () => {
    for (const text of INVALID) {
      for (let cutAt = 0; cutAt <= text.length; cutAt++) {
        assert.equal(isValid(text, cutAt), false, JSON.stringify(text));
      }
    }
  });

  test('is not searched for in the body', () => {
    const text = `${VALID}body\rbody`;
    for (let cutAt = 0; cutAt <= text.length; cutAt++) {
      assert.equal(isValid(text, cutAt), true);
    }
  });

  test('is not found in a valid head behind empty lines', () => {
    assert.equal(isValid(`\r\n${VALID}\rbody`, 1), true);
  });

  test('is found in the head behind an informational one', () => {
    const scanner = HeadScanner.create();
    const interim = 'HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n';
    const bytes = Buffer.from(`${interim}${INVALID[2]}`);
    assert.equal(scanner.push(bytes), true);
    assert.equal(scanner.startNextHead(), false);
  });
});

import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventSplitter} from './event_splitter.js';

/** An instance delays no event of a stream for longer, whatever arrives. */
const MAX_HOLD_MS = 120;
/** What one read of a socket brings at most. */
const READ_BYTES = 64 * 1024;

const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

test('returns each complete event once, wherever chunks end', () => {
  const cuts = fc.array(fc.integer({min: 0, max: 200}), {maxLength: 12});
  const counts = fc.record({
    events: fc.integer({min: 0, max: 8}),
    /** Bytes of an event that is never completed. */
    tail: fc.constantFrom('', 'id: 9', 'id: 9\ndata: hal', 'id: 9\nd\n'),
  });
  fc.assert(
    fc.property(counts, cuts, ({events, tail}, cutOffsets) => {
      const ids = Array.from({length: events}, (_, i) => i + 1);
      const complete = ids.map(event).join('');
      const bytes = Buffer.from(complete + tail);
      const ends = [...cutOffsets.filter(n => n < bytes.length), bytes.length];
      const splitter = EventSplitter.create();
      let out = '';
      let lastId: string | undefined;
      let from = 0;
      for (const end of ends.sort((a, b) => a - b)) {
        const pushed = splitter.push(bytes.subarray(from, end));
        from = end;
        if (pushed === undefined) continue;
        out += pushed.bytes.toString();
        assert.ok(out.endsWith('\n\n'));
        lastId = pushed.lastId ?? lastId;
      }
      assert.equal(out, complete);
      assert.equal(lastId, events === 0 ? undefined : String(events));
      assert.equal(splitter.hasPartialEvent, tail.length > 0);
    })
  );
});

test('an event in parts of one byte does not hold the event loop', () => {
  const splitter = EventSplitter.create();
  const part = Buffer.from('a');
  const startMs = performance.now();
  for (let i = 0; i < READ_BYTES; i++) splitter.push(part);
  assert.ok(performance.now() - startMs < MAX_HOLD_MS);
});

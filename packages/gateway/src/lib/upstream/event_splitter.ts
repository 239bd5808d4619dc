import {GrowingBuffer} from '@applebend/utils';

/** Complete events and the id of the last one that has an id. @public */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
  /** Whether any of them has data, unlike a comment. */
  readonly hasData: boolean;
}

/**
 * A longer event is none that an engine sends. The incomplete ones of as many
 * streams as an engine has connections fit into the memory of an instance.
 */
const MAX_EVENT_BYTES = 256 * 1024;
const EVENT_END = '\n\n';
const ID_LINE = /(?:^|\n)id: ?([^\n\r]*)/g;
const DATA_LINE = /(?:^|\n)data:/;

/**
 * Splits a stream of server-sent events at event boundaries: a blank line ends
 * an event, with `\n` as the line break.
 *
 * @public
 */
export class EventSplitter {
  private readonly partialEvent = GrowingBuffer.create(MAX_EVENT_BYTES);

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether the bytes so far end within an event. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Whether the incomplete event is longer than any that engines send. */
  get isOverLimit(): boolean {
    return this.partialEvent.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes; returns the events that they complete, or undefined. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const {partialEvent} = this;
    // What is held ends no event, but may end with the first half of an end.
    const searchFrom = Math.max(0, partialEvent.length - 1);
    partialEvent.add(chunk);
    const all = partialEvent.bytes;
    const end = all.subarray(searchFrom).lastIndexOf(EVENT_END);
    if (end < 0) return undefined;
    const cut = searchFrom + end + EVENT_END.length;
    partialEvent.clear();
    if (cut < all.length) partialEvent.add(all.subarray(cut));
    const bytes = all.subarray(0, cut);
    const text = bytes.toString('latin1');
    return {bytes, lastId: lastIdOf(text), hasData: DATA_LINE.test(text)};
  }
}

function lastIdOf(text: string): string | undefined {
  let last: string | undefined;
  for (const match of text.matchAll(ID_LINE)) {
    last = match[1];
  }
  return last;
}

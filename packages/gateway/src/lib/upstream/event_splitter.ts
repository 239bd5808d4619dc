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
const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events at event boundaries: a blank line ends
 * an event, with `\n` as the line break.
 *
 * @public
 */
export class EventSplitter {
  private partialEvent: Buffer = EMPTY;

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
    const all =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.partialEvent = all;
      return undefined;
    }
    const cut = end + EVENT_END.length;
    this.partialEvent = all.subarray(cut);
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

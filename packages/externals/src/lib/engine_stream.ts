const EVENT_SEPARATOR = '\n\n';
const DATA_PREFIX = 'data: ';
const DONE = '[DONE]';
/** Limit of an incomplete event, in UTF-16 code units. */
const MAX_EVENT_LENGTH = 1024 * 1024;
/** Gaps between tokens that are kept for the percentile. */
const MAX_TOKEN_GAPS = 4096;
const P95 = 0.95;

/** One server-sent event of a stream. @public */
export interface StreamEvent {
  /** The text of the event, including the empty line that ends it. */
  readonly raw: string;
  /** `token` has output text; `done` ends a complete response. */
  readonly kind: 'token' | 'done' | 'other';
}

interface ChunkUsage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
}

/** The fields of an event's JSON that are used here. */
interface Chunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string};
  }[];
  readonly usage?: ChunkUsage | null;
}

/**
 * Parses an engine's event stream while it is relayed. Counts and times its
 * tokens, and detects whether the response is complete.
 *
 * @public
 */
export class EngineStream {
  private pending = '';
  private readonly decoder = new TextDecoder();
  private readonly tokenGapsMs: number[] = [];
  private startedAtMs: number;
  private lastTokenAtMs: number | undefined;
  private outputTokenCount = 0;
  private inputTokenCount: number | undefined;
  private firstTokenAfterMs = 0;
  private sawDone = false;
  private streamId: string | undefined;

  private constructor(startedAtMs: number) {
    this.startedAtMs = startedAtMs;
  }

  /** @param startedAtMs - When the request was sent, on a monotonic clock. */
  static create(startedAtMs: number): EngineStream {
    return new EngineStream(startedAtMs);
  }

  /** Whether the engine has sent the event that ends a response. */
  get complete(): boolean {
    return this.sawDone;
  }

  /** Events with content so far; each counts as one token. */
  get outputTokens(): number {
    return this.outputTokenCount;
  }

  /** Input tokens as the engine reports them, or undefined until it does. */
  get inputTokens(): number | undefined {
    return this.inputTokenCount;
  }

  /** Time from `startedAtMs` to the first token, or 0 before it. */
  get firstTokenMs(): number {
    return this.firstTokenAfterMs;
  }

  /**
   * The 95th percentile of the time between tokens, over the first 4096 gaps at
   * most, or 0 without any.
   */
  get betweenTokensMs(): number {
    const sorted = [...this.tokenGapsMs].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * P95) - 1] ?? 0;
  }

  /** The engine's id for the stream, with which it can be resumed. */
  get id(): string | undefined {
    return this.streamId;
  }

  /**
   * Adds a chunk and returns the events that it completes, or undefined if an
   * incomplete event is longer than any that an engine sends.
   *
   * @param nowMs - When the chunk arrived, on the clock of `startedAtMs`.
   */
  push(chunk: Uint8Array, nowMs: number): StreamEvent[] | undefined {
    this.pending += this.decoder.decode(chunk, {stream: true});
    const events: StreamEvent[] = [];
    for (
      let end = this.pending.indexOf(EVENT_SEPARATOR);
      end >= 0;
      end = this.pending.indexOf(EVENT_SEPARATOR)
    ) {
      const raw = this.pending.slice(0, end + EVENT_SEPARATOR.length);
      this.pending = this.pending.slice(raw.length);
      events.push({raw, kind: this.classify(raw, nowMs)});
    }
    return this.pending.length > MAX_EVENT_LENGTH ? undefined : events;
  }

  private classify(raw: string, nowMs: number): StreamEvent['kind'] {
    const line = raw.split('\n').find(part => part.startsWith(DATA_PREFIX));
    if (line === undefined) return 'other';
    const data = line.slice(DATA_PREFIX.length).trim();
    if (data === DONE) {
      this.sawDone = true;
      return 'done';
    }
    const chunk = parseChunk(data);
    this.streamId ??= chunk?.id;
    this.inputTokenCount = chunk?.usage?.prompt_tokens ?? this.inputTokenCount;
    const content = chunk?.choices?.[0]?.delta?.content;
    if (content === undefined || content === '') return 'other';
    this.onToken(nowMs);
    return 'token';
  }

  private onToken(nowMs: number): void {
    this.outputTokenCount += 1;
    if (this.lastTokenAtMs === undefined) {
      this.firstTokenAfterMs = nowMs - this.startedAtMs;
    } else if (this.tokenGapsMs.length < MAX_TOKEN_GAPS) {
      this.tokenGapsMs.push(nowMs - this.lastTokenAtMs);
    }
    this.lastTokenAtMs = nowMs;
  }
}

function parseChunk(data: string): Chunk | undefined {
  try {
    const parsed: unknown = JSON.parse(data);
    return typeof parsed === 'object' && parsed !== null ? parsed : undefined;
  } catch {
    return undefined;
  }
}

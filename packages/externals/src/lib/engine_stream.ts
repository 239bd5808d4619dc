/**
 * Reads an engine's event stream as it passes: counts tokens, takes their
 * times, and tells a whole answer from one that broke off.
 */
const EVENT_SEPARATOR = '\n\n';
const DATA_PREFIX = 'data: ';
const DONE = '[DONE]';
const MAX_EVENT_BYTES = 1024 * 1024;
const MAX_TOKEN_GAPS = 4096;
const P95 = 0.95;

/** What one event of a stream was. @public */
export interface StreamEvent {
  /** The event's bytes, its empty line included. */
  readonly raw: string;
  readonly kind: 'token' | 'done' | 'other';
}

interface ChunkUsage {
  readonly prompt_tokens?: number;
  readonly completion_tokens?: number;
}

interface Chunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string};
  }[];
  readonly usage?: ChunkUsage | null;
}

/** Follows one event stream. @public */
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

  static create(startedAtMs: number): EngineStream {
    return new EngineStream(startedAtMs);
  }

  /** Whether the engine said that its answer is complete. */
  get complete(): boolean {
    return this.sawDone;
  }

  get outputTokens(): number {
    return this.outputTokenCount;
  }

  /** Input tokens by the engine's count, once it told them. */
  get inputTokens(): number | undefined {
    return this.inputTokenCount;
  }

  get firstTokenMs(): number {
    return this.firstTokenAfterMs;
  }

  /** Time between tokens at p95. */
  get betweenTokensMs(): number {
    const sorted = [...this.tokenGapsMs].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * P95) - 1] ?? 0;
  }

  /** The engine's name for the stream, by which it can be continued. */
  get id(): string | undefined {
    return this.streamId;
  }

  /**
   * Takes in a chunk and returns the events that it completed. Returns
   * undefined when an event grows past any size that an engine sends.
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
    return this.pending.length > MAX_EVENT_BYTES ? undefined : events;
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

/** @internal */
export interface WriterSelectionOptions {
  /** Id of this instance. */
  readonly instance: string;
  /** A number from 0 (included) to 1 (excluded), uniformly distributed. */
  readonly random: () => number;
}

/** Without a save for this long, the writer counts as lost. */
const WRITER_TIMEOUT_MS = 1000;
/** The writer gives up after this long without a successful append. */
const APPEND_TIMEOUT_MS = 1000;
/**
 * Range of the random delay of a takeover for each instance, so that few become
 * the writer before they hear of the first one.
 */
const DELAY_PER_INSTANCE_MS = 20;
const MAX_DELAY_MS = 2000;

/**
 * Decides whether this instance is the one that writes the journal for the whole
 * fleet. Several may do so for a short time.
 *
 * @internal
 */
export class WriterSelection {
  private isSelected = false;
  /** Since when this instance has known of something that no writer saved. */
  private unsavedSinceMs: number | undefined;
  /** Position of the takeover in the range of the random delay, 0 to 1. */
  private delayFraction = 0;
  private noTakeoverBeforeMs = -Infinity;
  private noneAtOnceBeforeMs = -Infinity;
  private hasKnownWriter = false;
  /** Start of the first append after the last successful one. */
  private appendingSinceMs: number | undefined;

  private constructor(private readonly options: WriterSelectionOptions) {}

  static create(options: WriterSelectionOptions): WriterSelection {
    return new WriterSelection(options);
  }

  get isWriter(): boolean {
    return this.isSelected;
  }

  /** Called when there is something to save. */
  onUnsaved(nowMs: number): void {
    if (this.isSelected || this.unsavedSinceMs !== undefined) return;
    this.unsavedSinceMs = nowMs;
    this.delayFraction = this.options.random();
    // A writer that had nothing to save was silent.
    const wasSilent = nowMs >= this.noTakeoverBeforeMs;
    if (this.hasKnownWriter && wasSilent) this.postponeTakeover(nowMs);
  }

  /** Gives the present writer, if there is one, the time for its next save. */
  postponeTakeover(nowMs: number): void {
    this.noTakeoverBeforeMs = nowMs + WRITER_TIMEOUT_MS;
  }

  /** Called when there may be a writer that has had nothing to save. */
  onWriterKnown(): void {
    this.hasKnownWriter = true;
  }

  /**
   * Called when a peer has saved. Of two writers, the one with the smaller id
   * goes on.
   */
  onPeerSaved(peer: string, nowMs: number): void {
    if (this.isSelected && peer > this.options.instance) return;
    this.isSelected = false;
    this.hasKnownWriter = true;
    this.unsavedSinceMs = undefined;
    this.postponeTakeover(nowMs);
  }

  onAppend(nowMs: number): void {
    this.appendingSinceMs ??= nowMs;
  }

  /** @param hasMore - whether the append of another record follows */
  onAppended(hasMore: boolean, nowMs: number): void {
    this.appendingSinceMs = hasMore ? nowMs : undefined;
  }

  /** Steps down if no append has succeeded for too long. */
  onFailed(nowMs: number): void {
    if (this.isSelected) this.stepDownIfFailing(nowMs);
  }

  /** Becomes the writer, or steps down, when it is time for that. */
  update(instanceCount: number, nowMs: number): void {
    if (this.isSelected) this.stepDownIfFailing(nowMs);
    else this.takeOverIfDue(instanceCount, nowMs);
  }

  /**
   * Becomes the writer at once, beside another one if there is one; not within
   * 1 s of the last such takeover, or after it gave up.
   */
  takeOverAtOnce(nowMs: number): void {
    if (this.isSelected || nowMs < this.noneAtOnceBeforeMs) return;
    this.noneAtOnceBeforeMs = nowMs + WRITER_TIMEOUT_MS;
    this.select();
  }

  private stepDownIfFailing(nowMs: number): void {
    const appendingForMs = nowMs - (this.appendingSinceMs ?? nowMs);
    if (appendingForMs < APPEND_TIMEOUT_MS) return;
    this.isSelected = false;
    this.noneAtOnceBeforeMs = nowMs + WRITER_TIMEOUT_MS;
    this.onUnsaved(nowMs);
    this.postponeTakeover(nowMs);
  }

  private takeOverIfDue(instanceCount: number, nowMs: number): void {
    if (this.unsavedSinceMs === undefined) return;
    const fromMs = Math.max(this.unsavedSinceMs, this.noTakeoverBeforeMs);
    const range = Math.min(MAX_DELAY_MS, DELAY_PER_INSTANCE_MS * instanceCount);
    if (nowMs < fromMs + this.delayFraction * range) return;
    this.select();
  }

  private select(): void {
    this.isSelected = true;
    this.unsavedSinceMs = undefined;
    this.appendingSinceMs = undefined;
  }
}

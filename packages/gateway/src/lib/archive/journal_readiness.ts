/** Whether the journal of stream versions has been read, and how far. @public */
export class JournalReadiness {
  private isRead = false;
  private readonly waiting = new Set<() => void>();
  private readNew: () => Promise<void> = () => Promise.resolve();

  private constructor() {}

  static create(): JournalReadiness {
    return new JournalReadiness();
  }

  /** Whether the journal has been read completely, or need not be read. */
  get isComplete(): boolean {
    return this.isRead;
  }

  /** Called once the journal has been read completely. */
  onComplete(): void {
    this.isRead = true;
    for (const listener of this.waiting) listener();
    this.waiting.clear();
  }

  /** Sets what reads the records that were appended since the last read. */
  setReader(readNew: () => Promise<void>): void {
    this.readNew = readNew;
  }

  /**
   * Resolves once the records that were appended since the last read have been
   * read, or cannot be read.
   */
  catchUp(): Promise<void> {
    return this.readNew();
  }

  /** Adds a listener for completion; returns a function that removes it. */
  whenComplete(listener: () => void): () => void {
    this.waiting.add(listener);
    return () => this.waiting.delete(listener);
  }
}

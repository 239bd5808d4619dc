/** Whether the journal of stream versions has been read. @public */
export class JournalReadiness {
  private isRead = false;
  private readonly waiting = new Set<() => void>();

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

  /** Adds a listener for completion; returns a function that removes it. */
  whenComplete(listener: () => void): () => void {
    this.waiting.add(listener);
    return () => this.waiting.delete(listener);
  }
}

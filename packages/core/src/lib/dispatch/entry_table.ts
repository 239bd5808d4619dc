interface EntryRecord {
  /** False from the loss of the link until the next `sync`. */
  synced: boolean;
  /** Latest send time of the entry's messages, by the entry's own clock. */
  lastSentAtMs: number;
}

/**
 * The entries that have sent their state to a dispatcher, each with the send
 * time of its latest message.
 *
 * @public
 */
export class EntryTable {
  private readonly records = new Map<string, EntryRecord>();

  private constructor() {}

  static create(): EntryTable {
    return new EntryTable();
  }

  /** Whether the dispatcher holds the entry's complete and current state. */
  isSynced(entry: string): boolean {
    return this.records.get(entry)?.synced ?? false;
  }

  /** The entries whose state the dispatcher holds. */
  syncedEntries(): ReadonlySet<string> {
    const synced = new Set<string>();
    for (const [entry, record] of this.records) {
      if (record.synced) synced.add(entry);
    }
    return synced;
  }

  /** The latest send time by the entry's own clock, or 0 if none is known. */
  lastSentAtMs(entry: string): number {
    return this.records.get(entry)?.lastSentAtMs ?? 0;
  }

  onSync(entry: string, sentAtMs: number): void {
    const lastSentAtMs = Math.max(this.lastSentAtMs(entry), sentAtMs);
    this.records.set(entry, {synced: true, lastSentAtMs});
  }

  onSeen(entry: string, sentAtMs: number): void {
    const record = this.records.get(entry);
    if (record === undefined) return;
    record.lastSentAtMs = Math.max(record.lastSentAtMs, sentAtMs);
  }

  /** Marks an entry as not synced. Returns whether it was synced before. */
  onSilent(entry: string): boolean {
    const record = this.records.get(entry);
    if (record === undefined || !record.synced) return false;
    record.synced = false;
    return true;
  }

  remove(entry: string): void {
    this.records.delete(entry);
  }
}

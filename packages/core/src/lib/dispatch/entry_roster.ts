/** The entries that a dispatcher knows, and how late it last heard of each. */

interface EntryRecord {
  synced: boolean;
  /** The entry's own clock on its latest message. */
  lastSentAtMs: number;
}

/** @public */
export class EntryRoster {
  private readonly records = new Map<string, EntryRecord>();

  private constructor() {}

  static create(): EntryRoster {
    return new EntryRoster();
  }

  /** Whether the entry's state is known here in full. */
  isSynced(entry: string): boolean {
    return this.records.get(entry)?.synced ?? false;
  }

  synced(): ReadonlySet<string> {
    const synced = new Set<string>();
    for (const [entry, record] of this.records) {
      if (record.synced) synced.add(entry);
    }
    return synced;
  }

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

  /** False when the entry was not synced anyway. */
  onSilent(entry: string): boolean {
    const record = this.records.get(entry);
    if (record === undefined || !record.synced) return false;
    record.synced = false;
    return true;
  }

  forget(entry: string): void {
    this.records.delete(entry);
  }
}

import type {ServiceRecord} from './journal_record.js';

/** The versions of each service, in order. */
type VersionSets = ReadonlyMap<string, readonly string[]>;

const NO_VERSIONS: readonly string[] = [];

/**
 * Decides which sets of versions are to be saved: those that differ from what
 * the journal holds, unless both name at most one version.
 *
 * @internal
 */
export class JournaledServices {
  private current: VersionSets = new Map();
  /** What the journal holds, as far as it was read, saved or can be assumed. */
  private readonly held = new Map<string, readonly string[]>();
  /**
   * Services whose record may name several versions. Without an own save, it is
   * not certain that a set that has shrunk to one version was saved.
   */
  private readonly mayHoldSeveral = new Set<string>();
  /** Services whose records have to be written whatever the journal holds. */
  private readonly forced = new Set<string>();
  private versionsToJournal: ReadonlySet<string> = new Set();

  private constructor() {}

  static create(): JournaledServices {
    return new JournaledServices();
  }

  /** The versions whose streams are saved: of all services with several. */
  get journaledVersions(): ReadonlySet<string> {
    return this.versionsToJournal;
  }

  onServices(sets: VersionSets): void {
    this.current = new Map(sets);
    const versions = new Set<string>();
    for (const [service, set] of sets) {
      if (set.length < 2) continue;
      this.mayHoldSeveral.add(service);
      for (const version of set) versions.add(version);
    }
    this.versionsToJournal = versions;
  }

  /** Called with a record that the journal holds. */
  onHeld({service, versions}: ServiceRecord): void {
    this.held.set(service, versions);
    this.forced.delete(service);
    if (versions.length > 1) this.mayHoldSeveral.add(service);
    else this.mayHoldSeveral.delete(service);
  }

  /** Called when the writer of the fleet has saved what it knows. */
  assumeSaved(): void {
    this.forced.clear();
    for (const service of this.mayHoldSeveral) {
      this.held.set(service, this.currentOf(service));
    }
  }

  /** Has all records written that name several versions, or may do so. */
  forceAll(): void {
    for (const service of this.mayHoldSeveral) this.forced.add(service);
  }

  /** The records to write. */
  unsaved(): ServiceRecord[] {
    const records: ServiceRecord[] = [];
    for (const service of this.mayHoldSeveral) {
      const versions = this.currentOf(service);
      const isHeld = isSame(versions, this.held.get(service) ?? NO_VERSIONS);
      if (isHeld && !this.forced.has(service)) continue;
      records.push({kind: 'service', service, versions});
    }
    return records;
  }

  private currentOf(service: string): readonly string[] {
    return this.current.get(service) ?? NO_VERSIONS;
  }
}

function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((version, i) => version === b[i]);
}

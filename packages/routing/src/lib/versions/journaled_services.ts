import type {ServiceRecord} from './journal_record.js';

/** The versions of each service, in order. */
type VersionSets = ReadonlyMap<string, readonly string[]>;

/** A set of versions that may have replaced a newer one. */
interface LateSet {
  readonly versions: readonly string[];
  readonly atMs: number;
}

const NO_VERSIONS: readonly string[] = [];
/**
 * For how long after its late append an instance answers for a set. It reads the
 * list of targets, from which it learns of newer versions, every second or so.
 */
const LATE_SET_MS = 5000;

/**
 * Decides which sets of versions are to be saved: those that differ from what
 * the journal holds. A set of one version is saved, too: it shows, after a
 * restart of all instances, that the service had another version before.
 *
 * @internal
 */
export class JournaledServices {
  private current: VersionSets = new Map();
  /** What the journal holds, as far as it was read, saved or can be assumed. */
  private readonly held = new Map<string, readonly string[]>();
  /** Services whose records have to be written whatever the journal holds. */
  private readonly forced = new Set<string>();
  /** Sets that this instance appended late, maybe after newer ones. */
  private readonly late = new Map<string, LateSet>();

  private constructor() {}

  static create(): JournaledServices {
    return new JournaledServices();
  }

  onServices(sets: VersionSets): void {
    this.current = new Map(sets);
  }

  /** Called with a record that the journal holds. */
  onHeld({service, versions}: ServiceRecord): void {
    this.held.set(service, versions);
    this.forced.delete(service);
    this.late.delete(service);
  }

  /**
   * Called with a record that this instance appended late. It may have replaced a
   * newer set, and the writer of that may not hear of it.
   */
  onSavedLate({service, versions}: ServiceRecord, nowMs: number): void {
    this.late.set(service, {versions, atMs: nowMs});
  }

  /** Whether a set that was appended late differs from the present one. */
  hasOutdated(nowMs: number): boolean {
    for (const [service, {versions, atMs}] of this.late) {
      if (nowMs - atMs > LATE_SET_MS) this.late.delete(service);
      else if (!isSame(versions, this.currentOf(service))) return true;
    }
    return false;
  }

  /** Whether the journal holds a record of any service. */
  get hasHeld(): boolean {
    return this.held.size > 0;
  }

  /** The services of which the journal holds a record. */
  heldServices(): Iterable<string> {
    return this.held.keys();
  }

  /** Called when the writer of the fleet has saved what it knows. */
  assumeSaved(): void {
    this.forced.clear();
    for (const service of this.services()) {
      this.held.set(service, this.currentOf(service));
    }
  }

  /** Has all records written. */
  forceAll(): void {
    for (const service of this.services()) this.forced.add(service);
  }

  /** The records to write. */
  unsaved(): ServiceRecord[] {
    const records: ServiceRecord[] = [];
    for (const service of this.services()) {
      const versions = this.currentOf(service);
      const isHeld = isSame(versions, this.held.get(service) ?? NO_VERSIONS);
      if (isHeld && !this.forced.has(service)) continue;
      records.push({kind: 'service', service, versions});
    }
    return records;
  }

  /** The services that have versions, or had some when they were last saved. */
  private services(): ReadonlySet<string> {
    return new Set([...this.current.keys(), ...this.held.keys()]);
  }

  private currentOf(service: string): readonly string[] {
    return this.current.get(service) ?? NO_VERSIONS;
  }
}

function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((version, i) => version === b[i]);
}

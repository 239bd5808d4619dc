import {streamRetentionMs} from './stream_retention.js';

/** When a software version was last registered for a service. @public */
export interface SeenVersion {
  readonly service: string;
  readonly version: string;
  /** Milliseconds since then. */
  readonly ageMs: number;
}

/** A software version of a registered target. @public */
export type RegisteredVersion = Pick<SeenVersion, 'service' | 'version'>;

/**
 * The software versions that targets of each service have, or had so recently
 * that a stream that began there can still be resumed.
 *
 * @public
 */
export class ServiceVersions {
  /** Service to version to when it was last seen. */
  private readonly seen = new Map<string, Map<string, number>>();
  /** Without duplicates: all are refreshed whenever a request asks. */
  private registered: readonly RegisteredVersion[] = [];
  /** Services whose versions from before this start were read. */
  private readonly recorded = new Set<string>();
  /** Start of the time in which all versions were seen, of all services. */
  private completeFromMs = -Infinity;
  private retentionMs = streamRetentionMs(0);

  private constructor() {}

  static create(): ServiceVersions {
    return new ServiceVersions();
  }

  /**
   * Sets for how long a stream can be resumed after it began. A shorter time than
   * before is ignored: streams that began under the former one may still run.
   */
  setLongestStreamMs(longestMs: number): void {
    this.retentionMs = Math.max(this.retentionMs, streamRetentionMs(longestMs));
  }

  /**
   * Replaces the registered versions. They count as seen until the next call,
   * since an unchanged list of targets is not always applied again.
   */
  setRegistered(registered: readonly RegisteredVersion[], nowMs: number): void {
    this.refreshRegistered(nowMs);
    this.registered = distinct(registered);
    this.refreshRegistered(nowMs);
  }

  /** Records a version that is registered now, or was `ageMs` ago. */
  add({service, version, ageMs}: SeenVersion, nowMs: number): void {
    const versions = this.seen.get(service) ?? new Map<string, number>();
    const known = versions.get(version) ?? -Infinity;
    versions.set(version, Math.max(known, nowMs - ageMs));
    this.seen.set(service, versions);
  }

  /**
   * Called after the versions from before this start were added, with the
   * services of which there was a record. Other services may have had more.
   */
  onHistoryRead(services: Iterable<string>, nowMs: number): void {
    for (const service of services) this.recorded.add(service);
    this.completeFromMs = nowMs;
  }

  /** Whether no version of the service from before this start can be missing. */
  isHistoryKnown(service: string, nowMs: number): boolean {
    const isOver = nowMs - this.completeFromMs > this.retentionMs;
    return isOver || this.recorded.has(service);
  }

  /** Whether streams of the service may have begun at different versions. */
  hasSeveral(service: string, nowMs: number): boolean {
    return this.of(service, nowMs).length > 1;
  }

  /** The versions at which a stream of the service may have begun, in order. */
  of(service: string, nowMs: number): readonly string[] {
    return this.sets(nowMs).get(service) ?? [];
  }

  /**
   * The versions at which a stream that can be resumed may have begun, in order,
   * by service. A service without any is missing.
   */
  sets(nowMs: number): ReadonlyMap<string, readonly string[]> {
    const sets = new Map<string, string[]>();
    for (const {service, version} of this.recent(nowMs)) {
      const versions = sets.get(service);
      if (versions === undefined) sets.set(service, [version]);
      else versions.push(version);
    }
    for (const versions of sets.values()) versions.sort();
    return sets;
  }

  /** The versions seen within the retention time, of all services. */
  recent(nowMs: number): SeenVersion[] {
    this.refreshRegistered(nowMs);
    const recent: SeenVersion[] = [];
    for (const [service, versions] of this.seen) {
      for (const [version, seenAtMs] of versions) {
        const ageMs = nowMs - seenAtMs;
        if (ageMs > this.retentionMs) versions.delete(version);
        else recent.push({service, version, ageMs});
      }
      if (versions.size === 0) this.seen.delete(service);
    }
    return recent;
  }

  private refreshRegistered(nowMs: number): void {
    for (const {service, version} of this.registered) {
      this.add({service, version, ageMs: 0}, nowMs);
    }
  }
}

function distinct(
  registered: readonly RegisteredVersion[]
): RegisteredVersion[] {
  const byKey = new Map<string, RegisteredVersion>();
  for (const {service, version} of registered) {
    byKey.set(JSON.stringify([service, version]), {service, version});
  }
  return [...byKey.values()];
}

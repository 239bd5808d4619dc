/** When a software version was last registered for a service. @public */
export interface SeenVersion {
  readonly service: string;
  readonly version: string;
  /** Milliseconds since then. */
  readonly ageMs: number;
}

/** For this long a stream may go on that began at a version that is gone. */
const RETENTION_MS = 120_000;

/**
 * The software versions that targets of each service have, or had a short while
 * ago.
 *
 * @public
 */
export class ServiceVersions {
  /** Service to version to when it was last seen. */
  private readonly seen = new Map<string, Map<string, number>>();

  private constructor() {}

  static create(): ServiceVersions {
    return new ServiceVersions();
  }

  /** Records a version that is registered now, or was `ageMs` ago. */
  add({service, version, ageMs}: SeenVersion, nowMs: number): void {
    const versions = this.seen.get(service) ?? new Map<string, number>();
    const known = versions.get(version) ?? -Infinity;
    versions.set(version, Math.max(known, nowMs - ageMs));
    this.seen.set(service, versions);
  }

  /** Whether streams of the service may have begun at different versions. */
  hasSeveral(service: string, nowMs: number): boolean {
    return this.recent(nowMs).filter(v => v.service === service).length > 1;
  }

  /** The versions seen of late, of all services. */
  recent(nowMs: number): SeenVersion[] {
    const recent: SeenVersion[] = [];
    for (const [service, versions] of this.seen) {
      for (const [version, seenAtMs] of versions) {
        const ageMs = nowMs - seenAtMs;
        if (ageMs > RETENTION_MS) versions.delete(version);
        else recent.push({service, version, ageMs});
      }
    }
    return recent;
  }
}

import type {RegisteredVersion} from '../lib/versions/service_versions.js';

interface Release {
  readonly service: string;
  readonly version: string;
  leftAtMs: number;
}

/** The targets of the services: which versions are registered, and were. */
export class JournalReleases {
  private readonly releases: Release[] = [];
  private count = 0;

  /** A target of a new version registers. */
  appear(service: string): void {
    this.count += 1;
    const version = `v${this.count}`;
    this.releases.push({service, version, leftAtMs: Infinity});
  }

  /** The last target of the oldest version leaves. */
  leave(service: string, nowMs: number): void {
    const oldest = this.releases.find(
      release => release.service === service && release.leftAtMs === Infinity
    );
    if (oldest !== undefined) oldest.leftAtMs = nowMs;
  }

  registered(): RegisteredVersion[] {
    return this.releases.filter(({leftAtMs}) => leftAtMs === Infinity);
  }

  versionsOf(service: string): string[] {
    return this.registered()
      .filter(registered => registered.service === service)
      .map(({version}) => version);
  }

  /** When the last target of a version left; Infinity if it has not. */
  leftAtMs(service: string, version: string): number {
    const found = this.releases.find(
      release => release.service === service && release.version === version
    );
    return found?.leftAtMs ?? -Infinity;
  }
}

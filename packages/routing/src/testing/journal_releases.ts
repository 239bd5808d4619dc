import type {RegisteredVersion} from '../lib/versions/service_versions.js';

interface Release {
  readonly service: string;
  readonly version: string;
  readonly appearedAtMs: number;
  leftAtMs: number;
}

/** The targets of the services: which versions are registered, and were. */
export class JournalReleases {
  private readonly releases: Release[] = [];
  private count = 0;

  /** A target of a new version registers. */
  appear(service: string, nowMs: number): void {
    this.count += 1;
    const version = `v${this.count}`;
    const release = {service, version, appearedAtMs: nowMs, leftAtMs: Infinity};
    this.releases.push(release);
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

  /** When the first target of a version registered. */
  appearedAtMs(service: string, version: string): number {
    return this.find(service, version)?.appearedAtMs ?? -Infinity;
  }

  /** When the last target of a version left; Infinity if it has not. */
  leftAtMs(service: string, version: string): number {
    return this.find(service, version)?.leftAtMs ?? -Infinity;
  }

  private find(service: string, version: string): Release | undefined {
    return this.releases.find(
      release => release.service === service && release.version === version
    );
  }
}

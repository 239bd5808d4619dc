import {CrashTracker} from '@applebend/routing';
import {match} from 'ts-pattern';

/** Copies of a request that may run at once until one has completed. */
const MAX_FRESH_COPIES = 1;

/**
 * Keeps requests that may have crashed a target apart from each other. With
 * at most one suspect on each target, a second loss identifies the request
 * that causes it, and the other suspects are cleared when they complete.
 * Requests with equal fingerprints are copies and share one status.
 *
 * @public
 */
export class CrashIsolation {
  readonly tracker = CrashTracker.create();
  /** Fingerprint to the targets that run a copy, one item for each copy. */
  private readonly runningTargets = new Map<string, string[]>();

  private constructor() {}

  static create(): CrashIsolation {
    return new CrashIsolation();
  }

  /** Whether a copy of a request may start on the target now. */
  allows(fingerprint: string, target: string, nowMs: number): boolean {
    const running = this.runningTargets.get(fingerprint)?.length ?? 0;
    return match(this.tracker.statusOf(fingerprint, nowMs))
      .with('cleared', () => true)
      .with('quarantined', () => false)
      .with('fresh', () => running < MAX_FRESH_COPIES)
      .with('suspect', () => {
        if (running > 0 || this.runsSuspect(target, nowMs)) return false;
        return !this.tracker.hasRecentLossOn(fingerprint, target, nowMs);
      })
      .exhaustive();
  }

  isQuarantined(fingerprint: string, nowMs: number): boolean {
    return this.tracker.statusOf(fingerprint, nowMs) === 'quarantined';
  }

  onStart(fingerprint: string, target: string): void {
    const targets = this.runningTargets.get(fingerprint) ?? [];
    targets.push(target);
    this.runningTargets.set(fingerprint, targets);
  }

  onStop(fingerprint: string, target: string): void {
    const targets = this.runningTargets.get(fingerprint);
    if (targets === undefined) return;
    const index = targets.indexOf(target);
    if (index >= 0) targets.splice(index, 1);
    if (targets.length === 0) this.runningTargets.delete(fingerprint);
  }

  private runsSuspect(target: string, nowMs: number): boolean {
    for (const [fingerprint, targets] of this.runningTargets) {
      if (!targets.includes(target)) continue;
      const status = this.tracker.statusOf(fingerprint, nowMs);
      if (status === 'suspect') return true;
    }
    return false;
  }
}

/**
 * Keeps requests that may crash targets apart from each other, so that a
 * second loss points at one of them and the innocent are cleared.
 */
import {match} from 'ts-pattern';
import {CrashTracker} from '../crash/crash_tracker.js';

/** Until one copy has run to its end, copies run one after the other. */
const MAX_FRESH_COPIES = 1;

/** Decides where a fingerprint may run beside what runs already. @public */
export class Isolation {
  readonly ledger = CrashTracker.create();
  /** Fingerprint to the targets that run a copy of it. */
  private readonly copies = new Map<string, string[]>();

  private constructor() {}

  static create(): Isolation {
    return new Isolation();
  }

  /** Whether a copy may start on the target now. */
  allows(fingerprint: string, target: string, nowMs: number): boolean {
    const running = this.copies.get(fingerprint)?.length ?? 0;
    return match(this.ledger.statusOf(fingerprint))
      .with('cleared', () => true)
      .with('quarantined', () => false)
      .with('fresh', () => running < MAX_FRESH_COPIES)
      .with('suspect', () => {
        if (running > 0 || this.runsSuspect(target)) return false;
        return !this.ledger.hasRecentLossOn(fingerprint, target, nowMs);
      })
      .exhaustive();
  }

  onStart(fingerprint: string, target: string): void {
    const targets = this.copies.get(fingerprint) ?? [];
    targets.push(target);
    this.copies.set(fingerprint, targets);
  }

  onStop(fingerprint: string, target: string): void {
    const targets = this.copies.get(fingerprint);
    if (targets === undefined) return;
    const index = targets.indexOf(target);
    if (index >= 0) targets.splice(index, 1);
    if (targets.length === 0) this.copies.delete(fingerprint);
  }

  private runsSuspect(target: string): boolean {
    for (const [fingerprint, targets] of this.copies) {
      if (!targets.includes(target)) continue;
      if (this.ledger.statusOf(fingerprint) === 'suspect') return true;
    }
    return false;
  }
}

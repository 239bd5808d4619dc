/**
 * What became of a request's attempts at targets, and whether one more is
 * allowed; no I/O.
 */
import {EXECUTION} from '../errors.js';

import type {AttemptFailure} from '../errors.js';

/** Connections refused in a row after which a request is given up. */
const MAX_CONNECT_FAILURES = 3;
const MIN_LEFT_FOR_RETRY_MS = 60;

/** @public */
export class AttemptTracker {
  private readonly targets = new Set<string>();
  private sendCount = 0;
  private connectFailures = 0;
  private ran = false;
  private last: AttemptFailure | undefined;

  private constructor(private readonly maxAttempts: number) {}

  static create(maxAttempts: number): AttemptTracker {
    return new AttemptTracker(maxAttempts);
  }

  /** Targets that the request was sent to. */
  get tried(): ReadonlySet<string> {
    return this.targets;
  }

  /** Attempts that reached a target, as far as is known. */
  get sends(): number {
    return this.sendCount;
  }

  /** Whether any target may have run it. */
  get mayHaveRun(): boolean {
    return this.ran;
  }

  get lastFailure(): AttemptFailure | undefined {
    return this.last;
  }

  /** Whether the attempt under way is the last one. */
  get isLastAttempt(): boolean {
    return this.sendCount >= this.maxAttempts;
  }

  onSend(target: string): void {
    this.targets.add(target);
    this.sendCount += 1;
  }

  /** A target ran the request and failed it. */
  onExecuted(): void {
    this.ran = true;
  }

  onFailure(failure: AttemptFailure): void {
    this.last = failure;
    if (failure.execution === EXECUTION.unknown) this.ran = true;
    if (failure.kind !== 'connect_failed') return;
    this.sendCount -= 1;
    this.connectFailures += 1;
  }

  /** Whether the rules of the route leave room for one more attempt. */
  allowsRetry(leftMs: number): boolean {
    if (this.isLastAttempt || this.connectFailures >= MAX_CONNECT_FAILURES) {
      return false;
    }
    return leftMs >= MIN_LEFT_FOR_RETRY_MS;
  }
}

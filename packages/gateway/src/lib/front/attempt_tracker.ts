import {EXECUTION} from '../execution.js';

import type {AttemptFailure} from '../errors.js';

/**
 * A request fails after this number of connections that failed slowly. Of refused
 * ones, which cost no time, it is the number after which only healthy targets are
 * tried.
 */
const MAX_CONNECT_FAILURES = 3;
/** No retry is allowed with less time left until the deadline. */
const MIN_LEFT_FOR_RETRY_MS = 60;

/**
 * Tracks the attempts of one request and decides whether its route allows one
 * more.
 *
 * @public
 */
export class AttemptTracker {
  private readonly targets = new Set<string>();
  private sendCount = 0;
  private refusals = 0;
  private connectFailures = 0;
  private ran = false;
  private last: AttemptFailure | undefined;

  private constructor(private readonly maxAttempts: number) {}

  static create(maxAttempts: number): AttemptTracker {
    return new AttemptTracker(maxAttempts);
  }

  /** Ids of targets that the request was sent to. */
  get tried(): ReadonlySet<string> {
    return this.targets;
  }

  /** Whether a target may be tried that is ejected, if there is no other. */
  get mayTryEjected(): boolean {
    return this.refusals + this.connectFailures < MAX_CONNECT_FAILURES;
  }

  /** Attempts that did not fail to connect, including the current one. */
  get sends(): number {
    return this.sendCount;
  }

  /** Whether any target may have run the request. */
  get mayHaveRun(): boolean {
    return this.ran;
  }

  get lastFailure(): AttemptFailure | undefined {
    return this.last;
  }

  /** Whether the current attempt is the last one that the route allows. */
  get isLastAttempt(): boolean {
    return this.sendCount >= this.maxAttempts;
  }

  onSend(target: string): void {
    this.targets.add(target);
    this.sendCount += 1;
  }

  /** Called when a target ran the request and responded with an error. */
  onExecuted(): void {
    this.ran = true;
  }

  onFailure(failure: AttemptFailure): void {
    this.last = failure;
    if (failure.execution === EXECUTION.unknown) this.ran = true;
    if (failure.kind !== 'connect_failed') return;
    this.sendCount -= 1;
    if (failure.isRefused) this.refusals += 1;
    else this.connectFailures += 1;
  }

  /** Whether one more attempt is allowed with the given time left. */
  allowsRetry(leftMs: number): boolean {
    if (this.isLastAttempt || this.connectFailures >= MAX_CONNECT_FAILURES) {
      return false;
    }
    return leftMs >= MIN_LEFT_FOR_RETRY_MS;
  }
}

import {EventThrottle} from '@applebend/utils';

import type {JournalRecord} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {ArchiveError} from '../ports.js';

/** Least time between two lines with the same event. */
const MIN_INTERVAL_MS = 1000;

/** Logs what is appended to the journal of stream versions. @internal */
export class JournalLog {
  private wasWriter = false;
  private readonly saves = EventThrottle.create(MIN_INTERVAL_MS);
  private readonly failures = EventThrottle.create(MIN_INTERVAL_MS);
  /** What was saved and has not been logged yet. */
  private unlogged = {services: 0, attempts: 0};

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock
  ) {}

  static create(log: Logger, clock: Clock): JournalLog {
    return new JournalLog(log, clock);
  }

  onRole(isWriter: boolean): void {
    if (isWriter === this.wasWriter) return;
    this.wasWriter = isWriter;
    this.log.info('version journal writer', {isWriter});
  }

  onSaved(record: JournalRecord): void {
    if (record.kind === 'service') this.unlogged.services += 1;
    else this.unlogged.attempts += attemptCount(record.attempts);
    if (this.saves.onEvent(this.clock.monotonicMs()) === 0) return;
    this.log.info('version journal saved', this.unlogged);
    this.unlogged = {services: 0, attempts: 0};
  }

  onFailed(err: ArchiveError): void {
    if (this.failures.onEvent(this.clock.monotonicMs()) === 0) return;
    this.log.warn('version journal not saved', {...err});
  }
}

function attemptCount(
  attempts: ReadonlyMap<string, readonly unknown[]>
): number {
  let count = 0;
  for (const keys of attempts.values()) count += keys.length;
  return count;
}

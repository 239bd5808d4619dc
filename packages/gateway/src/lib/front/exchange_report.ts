/** How a request ended, for logs and metrics. */
import type {AttemptFailure} from '../errors.js';

/** @public */
export interface ExchangeReport {
  readonly attemptId: string;
  readonly route: string;
  readonly service: string;
  readonly customer: string | undefined;
  /** `answered`, `caller_left`, or the kind of the own answer. */
  readonly outcome: string;
  readonly status: number;
  /** Targets that it was sent to. */
  readonly sends: number;
  /** The last target. */
  readonly target: string | undefined;
  readonly failure: AttemptFailure | undefined;
  readonly elapsedMs: number;
  readonly configVersion: number;
}

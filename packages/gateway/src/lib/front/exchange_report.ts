/** How a request ended, for logs and metrics. */
import type {AdmissionInput} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';

/** The inputs of a placement. Times in milliseconds. @public */
export interface PlacedFigures {
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly running: number;
  readonly uncachedTokens: number;
  readonly kvTokens: number;
}

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
  /** What the last placement rested on. */
  readonly placed: PlacedFigures | undefined;
  /** What its admission rested on, where it was refused. */
  readonly refusedFor: AdmissionInput | undefined;
  /** From the send to the head of the answer, in milliseconds. */
  readonly headMs: number | undefined;
  readonly elapsedMs: number;
  readonly configVersion: number;
}

import type {AdmissionInput} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';

/** The estimates that a placement was based on. @public */
export interface PlacedFigures {
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly running: number;
  readonly uncachedTokens: number;
  readonly kvTokens: number;
}

/** How a request ended, for the log and the metrics. @public */
export interface ExchangeReport {
  readonly attemptId: string;
  readonly route: string;
  readonly service: string;
  readonly customer: string | undefined;
  /** `answered`, `caller_left`, or the kind of the gateway's response. */
  readonly outcome: string;
  /** HTTP status; 0 if the caller disconnected. */
  readonly status: number;
  /** Number of attempts that did not fail to connect. */
  readonly sends: number;
  /** Id of the last target that it was sent to. */
  readonly target: string | undefined;
  readonly failure: AttemptFailure | undefined;
  /** Estimates for the last placement. */
  readonly placed: PlacedFigures | undefined;
  /** Input of the admission decision if the request was refused. */
  readonly refusedFor: AdmissionInput | undefined;
  /** Time from sending the request to the head of the response. */
  readonly headMs: number | undefined;
  readonly elapsedMs: number;
  readonly configVersion: number;
}

import type {AdmissionInput} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {SendBasis} from '../state/recent_sends.js';

/** The target's load and the estimates for one placement. @public */
export interface PlacementEstimates {
  /** Predicted time of the prefill queued at the target. */
  readonly waitMs: number;
  /** Predicted time of the request's own prefill. */
  readonly prefillMs: number;
  /** Requests that all instances had at the target. */
  readonly running: number;
  /** Prompt tokens that were not in the target's prefix cache. */
  readonly uncachedTokens: number;
  /** KV memory that the running requests occupied, in tokens. */
  readonly kvTokens: number;
}

/** By what a request was sent to its last target. @public */
export interface SendReport extends SendBasis {
  /** Time from the send to the end of the request. */
  readonly agoMs: number;
  /** Whether the target gets no new requests any more. */
  readonly hasDeparted: boolean;
}

/** How a request ended, for the log and the metrics. @public */
export interface ExchangeReport {
  readonly attemptId: string;
  readonly route: string;
  readonly service: string;
  readonly customer: string | undefined;
  /** Whether the caller resumed a broken stream. */
  readonly isTakenUp: boolean;
  /** Hash of the request's content; undefined if it was not needed. */
  readonly fingerprint: string | undefined;
  /** A block of the prompt that is in quarantine at its end, see `blockKey`. */
  readonly quarantinedBlock: string | undefined;
  /**
   * `answered`, `caller_left`, `connection_closed` by this instance, or the kind of
   * the gateway's response.
   */
  readonly outcome: string;
  /** HTTP status; 0 if the caller disconnected. */
  readonly status: number;
  /** Number of attempts that did not fail to connect. */
  readonly sends: number;
  /** Id of the last target that it was sent to. */
  readonly target: string | undefined;
  /** Its last send; undefined if it was not sent. */
  readonly sent: SendReport | undefined;
  /** The last failed attempt. */
  readonly failure: AttemptFailure | undefined;
  /** Estimates for the last placement. */
  readonly placed: PlacementEstimates | undefined;
  /** Input of the admission decision if the request was refused. */
  readonly refusedFor: AdmissionInput | undefined;
  /** Status of the last response, except of one by which the request did not run. */
  readonly targetStatus: number | undefined;
  /** Time from the last send to the head of its response. */
  readonly headMs: number | undefined;
  /** Time from the arrival of the request to its end. */
  readonly elapsedMs: number;
  readonly configVersion: number;
}

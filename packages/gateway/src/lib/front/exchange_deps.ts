import type http from 'node:http';
import type {MemoryClaim, Target} from '@applebend/routing';
import type {Clock} from '@applebend/utils';
import type {AttemptFailure} from '../errors.js';
import type {HeaderCodec} from '../ports.js';
import type {UsageRow} from '../peers/peer_message.js';
import type {FleetState} from '../state/fleet_state.js';
import type {BodyError} from './body_reader.js';
import type {ExchangeReport} from './exchange_report.js';
import type {RequestContext} from './request_context.js';

/** What all exchanges of an instance share. @public */
export interface ExchangeDeps {
  readonly state: FleetState;
  readonly codec: HeaderCodec;
  /** Holds the connections to targets. */
  readonly agent: http.Agent;
  readonly clock: Clock;
  /** Draws a number from 0 up to 1. */
  readonly random: () => number;
  /**
   * Called for every placement, to publish it to peers.
   *
   * @param isCacheMiss - whether the target lacked some of the prompt's shared
   *     blocks
   */
  onPlaced(
    targetId: string,
    context: RequestContext,
    isCacheMiss: boolean
  ): void;
  /** Called with the cost of each request. */
  onUsage(usage: UsageRow): void;
  /**
   * Called when a request is refused, before its body is read, because the
   * event loop is overloaded.
   */
  onOverloaded(): void;
  /** Called when a request is refused because its body could not be read. */
  onBodyRefused(kind: BodyError['kind'], customer: string): void;
  /** Called when a caller disconnected before its request was placed. */
  onCallerDisconnected(): void;
  /** Called when a connection is closed since too many requests wait on it. */
  onPipeliningClosed(): void;
  /** Called when a target sent a response that could not be used. */
  onInvalidResponse(target: Target, failure: AttemptFailure): void;
  /** Called with an exception that was thrown while a request was handled. */
  onFault(err: unknown, attemptId: string): void;
  /** Called once for each exchange. */
  onEnd(report: ExchangeReport): void;
}

/** A caller's request with its body, and the response to write. @public */
export interface InboundRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  /**
   * The complete body; undefined if the request has none, or once it has ended
   * and no target can get it again.
   */
  body: Buffer | undefined;
  /** What the body holds of the memory; undefined without a body. */
  readonly bodyClaim?: MemoryClaim | undefined;
}

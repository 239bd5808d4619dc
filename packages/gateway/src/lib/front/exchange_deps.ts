/** What exchanges share, and what belongs to one of them. */
import type http from 'node:http';
import type {Clock} from '@applebend/utils';
import type {HeaderCodec} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ExchangeReport} from './exchange_report.js';
import type {RequestContext} from './request_context.js';

/** What an exchange uses; shared by all of them. @public */
export interface ExchangeDeps {
  readonly state: FleetState;
  readonly codec: HeaderCodec;
  readonly agent: http.Agent;
  readonly clock: Clock;
  /** From 0 up to 1. */
  readonly random: () => number;
  /**
   * Told of every placement, so that peers learn of it; `isNew` where the
   * target did not keep the prompt's shared parts before.
   */
  onPlaced(targetId: string, context: RequestContext, isNew: boolean): void;
  onUsage(customer: string, asked: number, given: number): void;
  /** A request was refused unread, since the event loop is behind. */
  onOverloaded(): void;
  /** A caller had gone before its request was placed. */
  onCallerDisconnected(): void;
  onEnd(report: ExchangeReport): void;
}

/** The parts of a request that came from the caller's socket. @public */
export interface InboundRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly body: Buffer | undefined;
}

import {EXECUTION} from '../execution.js';
import {RETRY_AFTER_S} from './exchange_ending.js';
import {STATUS} from './responses.js';

import type {BodyError} from './body_reader.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';
import type {GatewayResponse} from './responses.js';

/** Why a request was refused before its body was read to its end. @public */
export type UnreadKind = Exclude<BodyError['kind'], 'broken_off'>;

/** For requests that come too late in a shutdown. @public */
export const STOPPING: GatewayResponse = {
  status: STATUS.unavailable,
  kind: 'stopping',
  execution: EXECUTION.notRun,
  retryAfterS: 0.1,
};

/** For a request whose caller may have left while it waited. @public */
export const TOO_MANY_WAITING: GatewayResponse = {
  status: STATUS.unavailable,
  kind: 'too_many_waiting',
  execution: EXECUTION.notRun,
  retryAfterS: 1,
};

/** For a request that an exception ended before it was sent. @public */
export const INTERNAL_FAULT: GatewayResponse = {
  status: STATUS.unavailable,
  kind: 'internal_fault',
  execution: EXECUTION.notRun,
  retryAfterS: 1,
};

/** The response to a request that an overloaded instance refuses. @public */
export function overloadedResponse(
  {deadlineAtMs}: RequestContext,
  {state, random, clock}: ExchangeDeps
): GatewayResponse {
  const nowMs = clock.monotonicMs();
  return {
    status: STATUS.unavailable,
    kind: 'overloaded',
    execution: EXECUTION.notRun,
    retryAfterS: state.overloadGuard.retryAfterS({
      noticeLeftMs: state.rotationNotice.leftMs(nowMs),
      leftMs: deadlineAtMs - nowMs,
      spread: random(),
    }),
  };
}

/** The response to a request whose body is not read to its end. @public */
export function unreadResponse(
  kind: UnreadKind,
  {deadlineAtMs}: RequestContext,
  {state, random, clock}: ExchangeDeps
): GatewayResponse {
  const leftMs = deadlineAtMs - clock.monotonicMs();
  const spread = random();
  const retryAfterS = {
    too_large: undefined,
    timeout: RETRY_AFTER_S,
    body_memory: state.bodyMemory.retryAfterS({leftMs, spread}),
  }[kind];
  const status = kind === 'too_large' ? STATUS.tooLarge : STATUS.unavailable;
  return {status, kind, execution: EXECUTION.notRun, retryAfterS};
}

import {estimateInputTokens, modelCallCost} from '@applebend/core';

import type {TokenTimes, TokenUsage} from '@applebend/core';
import type {EngineStream} from '@applebend/externals';
import type {AdmittedRequest} from './admission.js';

/** What the cost of a request depends on. @public */
export type CostedRequest = Pick<
  AdmittedRequest,
  'customer' | 'call' | 'estimate' | 'body'
>;

/** Token counts and times of a response so far. @public */
export type StreamFigures = Pick<
  EngineStream,
  'inputTokens' | 'outputTokens' | 'firstTokenMs' | 'betweenTokensMs'
>;

/**
 * Returns the weighted tokens that a request has used so far. A request of a
 * plain service costs its estimate; the input tokens of a model call are
 * estimated until the engine has sent them.
 *
 * @public
 */
export function costSoFar(
  request: CostedRequest,
  stream: StreamFigures
): number {
  const {customer, call, estimate, body} = request;
  if (call === undefined) return estimate;
  return modelCallCost(customer.template, {
    inputTokens: stream.inputTokens ?? estimateInputTokens(body.length),
    outputTokens: stream.outputTokens,
  });
}

/**
 * Returns the weighted tokens of a request with a complete response: its
 * estimate if it is of a plain service or if the engine sent no usage.
 *
 * @public
 */
export function finalCost(
  request: CostedRequest,
  usage: TokenUsage | undefined
): number {
  const {customer, call, estimate} = request;
  if (call === undefined || usage === undefined) return estimate;
  return modelCallCost(customer.template, usage);
}

/** Returns undefined if the response had no tokens to measure. @public */
export function tokenTimesOf(stream: StreamFigures): TokenTimes | undefined {
  if (stream.outputTokens === 0) return undefined;
  const {firstTokenMs, betweenTokensMs} = stream;
  return {firstTokenMs, betweenTokensMs};
}

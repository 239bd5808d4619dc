/** Charges a request's service to its customer. */
import {costOf} from './placing.js';

import type {ExchangeTools} from './exchange_tools.js';
import type {RequestContext} from './request_context.js';

/** Counts what was asked for, and as given where it was taken. @public */
export function noteUse(
  tools: ExchangeTools,
  context: RequestContext,
  isTaken: boolean
): void {
  const cost = costOf(context);
  if (cost === 0) return;
  tools.onUse(context.customer ?? '', cost, isTaken ? cost : 0);
}

/** Charges a request's service to its customer. */
import {costOf} from './placement.js';

import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** Counts what was asked for, and as given where it was taken. @public */
export function recordUsage(
  deps: ExchangeDeps,
  context: RequestContext,
  isAdmitted: boolean
): void {
  const cost = costOf(context);
  if (cost === 0) return;
  deps.onUsage(context.customer ?? '', cost, isAdmitted ? cost : 0);
}

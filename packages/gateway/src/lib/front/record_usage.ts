import {costOf} from './placement.js';

import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** Charges the weighted tokens of a request to its customer. @public */
export function recordUsage(
  deps: ExchangeDeps,
  context: RequestContext,
  isAdmitted: boolean
): void {
  const cost = costOf(context);
  if (cost === 0) return;
  deps.onUsage(context.customer ?? '', cost, isAdmitted ? cost : 0);
}

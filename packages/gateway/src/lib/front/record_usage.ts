import {weightedCostOf} from './placement.js';

import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/**
 * Counts the weighted tokens of a request as requested by its customer, and as
 * admitted if the request is. A request without a prompt has none.
 *
 * @public
 */
export function recordUsage(
  deps: ExchangeDeps,
  context: RequestContext,
  isAdmitted: boolean
): void {
  const cost = weightedCostOf(context);
  if (cost === 0) return;
  deps.onUsage(context.customer ?? '', cost, isAdmitted ? cost : 0);
}

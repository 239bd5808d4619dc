import {usagePoolOf, weightedCostOf} from './placement.js';

import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/**
 * Counts the cost of a request as requested by its customer, and as admitted if
 * the request is.
 *
 * @public
 */
export function recordUsage(
  deps: ExchangeDeps,
  context: RequestContext,
  isAdmitted: boolean
): void {
  const cost = weightedCostOf(context);
  deps.onUsage({
    pool: usagePoolOf(context),
    customer: context.customer ?? '',
    requested: cost,
    admitted: isAdmitted ? cost : 0,
  });
}

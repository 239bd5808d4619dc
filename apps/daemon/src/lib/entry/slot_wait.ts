import {match} from 'ts-pattern';
import {refusal} from './refusals.js';

import type {RunStatus, Refusal} from '@applebend/core';
import type {Clock} from '@applebend/utils';
import type {CellTask} from '../cells/cell_task.js';
import type {Acquisition} from '../cells/slot_waiters.js';
import type {AdmittedRequest} from './admission.js';

/** @public */
export interface SlotWaitOptions {
  readonly cell: CellTask;
  readonly request: AdmittedRequest;
  /** Targets that must not run the request. */
  readonly avoid: readonly string[];
  /** When the request was admitted, by this instance's monotonic clock. */
  readonly startedAtMs: number;
  /** End of the wait, by the same clock. */
  readonly deadlineAtMs: number;
  readonly clock: Clock;
}

/**
 * Queues the request and waits for a slot, until the deadline or until the
 * caller disconnects.
 *
 * @public
 */
export async function waitForSlot(wait: SlotWaitOptions): Promise<Acquisition> {
  const {request, avoid, startedAtMs, deadlineAtMs, clock} = wait;
  const {caller, customer, cls} = request;
  const {estimate, fingerprint, affinity} = request;
  const nowMs = clock.monotonicMs();
  const deadline = new AbortController();
  const remainingMs = Math.max(0, deadlineAtMs - nowMs);
  const timer = setTimeout(() => deadline.abort(), remainingMs);
  const acquired = await wait.cell.acquire(
    {
      requestId: caller.requestId,
      customer: customer.name,
      className: cls.name,
      estimate,
      fingerprint,
      affinity,
      avoid: [...avoid],
      waitedMs: nowMs - startedAtMs,
    },
    AbortSignal.any([caller.gone, deadline.signal])
  );
  clearTimeout(timer);
  return acquired;
}

/** Creates the refusal for a wait that ended without a slot. @public */
export function slotWaitRefusal(
  acquired: Exclude<Acquisition, {type: 'granted'}>,
  ran: RunStatus
): Refusal {
  return match(acquired)
    .with({type: 'cancelled'}, () =>
      refusal('deadline_passed', 'no slot came free before the deadline', ran)
    )
    .with({reason: 'queue_full'}, ({retryAfterMs}) => {
      const message = 'too many requests of this customer wait';
      return refusal('queue_full', message, ran, retryAfterMs);
    })
    .with({reason: 'quarantined'}, () => {
      const message = 'equal requests were running when targets were lost';
      return refusal('quarantined', message, ran);
    })
    .exhaustive();
}

import type {Announcement} from '../dispatch_types.js';

/** Announces a request of one customer; its fingerprint is its id. */
export function announce(requestId: string, waitedMs = 0): Announcement {
  return {
    requestId,
    customer: 'customer',
    className: 'layout',
    estimate: 10,
    fingerprint: requestId,
    affinity: 0,
    avoid: [],
    waitedMs,
  };
}

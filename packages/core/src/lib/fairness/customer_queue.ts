import type {QueuedRequest} from '../dispatch/dispatch_types.js';

/** The waiting requests of one priority. */
interface PriorityBand {
  readonly priority: number;
  /** Oldest first. */
  readonly requests: QueuedRequest[];
}

/**
 * One customer's waiting requests, ordered by class priority, then arrival.
 * Requests that have waited longer than their class's `maxWaitMs` go before all
 * others, so that no class starves.
 *
 * @public
 */
export class CustomerQueue {
  /** Lowest priority value first, since it is the most urgent. */
  private readonly bands: PriorityBand[] = [];
  private count = 0;

  private constructor() {}

  static create(): CustomerQueue {
    return new CustomerQueue();
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.count;
  }

  /** Inserts a request by its arrival time, since it may have waited before. */
  add(request: QueuedRequest): void {
    const {requests} = this.bandOf(request);
    let index = requests.length;
    while (index > 0 && isLater(requests[index - 1], request)) index -= 1;
    requests.splice(index, 0, request);
    this.count += 1;
  }

  remove(request: QueuedRequest): void {
    const {requests} = this.bandOf(request);
    const index = requests.indexOf(request);
    if (index < 0) return;
    requests.splice(index, 1);
    this.count -= 1;
  }

  /** Yields all requests in the order in which they should be granted slots. */
  *inOrder(nowMs: number): Generator<QueuedRequest> {
    for (const band of this.bands) yield* overdueRequests(band, nowMs);
    for (const band of this.bands) {
      const overdueCount = overdueRequests(band, nowMs).length;
      yield* band.requests.slice(overdueCount);
    }
  }

  private bandOf({priority}: QueuedRequest): PriorityBand {
    const existing = this.bands.find(band => band.priority === priority);
    if (existing !== undefined) return existing;
    const band = {priority, requests: []};
    this.bands.push(band);
    this.bands.sort((a, b) => a.priority - b.priority);
    return band;
  }
}

function isLater(
  queued: QueuedRequest | undefined,
  request: QueuedRequest
): boolean {
  return queued !== undefined && queued.queuedAtMs > request.queuedAtMs;
}

/**
 * Returns the overdue requests at the head of a band. Those behind a request
 * that is not overdue keep their place.
 */
function overdueRequests(band: PriorityBand, nowMs: number): QueuedRequest[] {
  const index = band.requests.findIndex(r => !isOverdue(r, nowMs));
  return index < 0 ? band.requests.slice() : band.requests.slice(0, index);
}

function isOverdue(request: QueuedRequest, nowMs: number): boolean {
  return nowMs - request.queuedAtMs >= request.maxWaitMs;
}

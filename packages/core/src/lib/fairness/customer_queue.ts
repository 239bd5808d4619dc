/** One customer's waiting requests, ordered by class and waiting time. */
import type {QueuedRequest} from '../dispatch/dispatch_types.js';

interface PriorityBand {
  readonly priority: number;
  /** Oldest first. */
  readonly requests: QueuedRequest[];
}

/**
 * Orders by class priority, then arrival. A request that has waited past its
 * class's limit goes before all that have not, so that no class starves.
 *
 * @public
 */
export class CustomerQueue {
  /** Most urgent first. */
  private readonly bands: PriorityBand[] = [];
  private count = 0;

  private constructor() {}

  static create(): CustomerQueue {
    return new CustomerQueue();
  }

  get size(): number {
    return this.count;
  }

  /** Puts a request in its place by arrival. */
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

  /** Requests in the order in which they should be tried. */
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

/** The oldest requests of a band, as far as they waited past their limit. */
function overdueRequests(band: PriorityBand, nowMs: number): QueuedRequest[] {
  const index = band.requests.findIndex(r => !isOverdue(r, nowMs));
  return index < 0 ? band.requests.slice() : band.requests.slice(0, index);
}

function isOverdue(request: QueuedRequest, nowMs: number): boolean {
  return nowMs - request.queuedAtMs >= request.maxWaitMs;
}

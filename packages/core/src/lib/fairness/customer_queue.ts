/** One customer's waiting requests, ordered by class and waiting time. */
import type {QueuedRequest} from '../dispatch/dispatch_types.js';

interface Lane {
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
  private readonly lanes: Lane[] = [];
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
    const {requests} = this.laneOf(request);
    let index = requests.length;
    while (index > 0 && isLater(requests[index - 1], request)) index -= 1;
    requests.splice(index, 0, request);
    this.count += 1;
  }

  remove(request: QueuedRequest): void {
    const {requests} = this.laneOf(request);
    const index = requests.indexOf(request);
    if (index < 0) return;
    requests.splice(index, 1);
    this.count -= 1;
  }

  /** Requests in the order in which they should be tried. */
  *inOrder(nowMs: number): Generator<QueuedRequest> {
    for (const lane of this.lanes) yield* overdueOf(lane, nowMs);
    for (const lane of this.lanes) {
      const tried = overdueOf(lane, nowMs).length;
      yield* lane.requests.slice(tried);
    }
  }

  private laneOf({priority}: QueuedRequest): Lane {
    const known = this.lanes.find(lane => lane.priority === priority);
    if (known !== undefined) return known;
    const lane = {priority, requests: []};
    this.lanes.push(lane);
    this.lanes.sort((a, b) => a.priority - b.priority);
    return lane;
  }
}

function isLater(
  queued: QueuedRequest | undefined,
  request: QueuedRequest
): boolean {
  return queued !== undefined && queued.queuedAtMs > request.queuedAtMs;
}

/** The oldest requests of a lane, as far as they waited past their limit. */
function overdueOf(lane: Lane, nowMs: number): QueuedRequest[] {
  const index = lane.requests.findIndex(r => !isOverdue(r, nowMs));
  return index < 0 ? lane.requests.slice() : lane.requests.slice(0, index);
}

function isOverdue(request: QueuedRequest, nowMs: number): boolean {
  return nowMs - request.queuedAtMs >= request.maxWaitMs;
}

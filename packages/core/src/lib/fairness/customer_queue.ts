/** One customer's waiting requests, ordered by class and waiting time. */
import type {QueuedRequest} from '../dispatch/dispatch_types.js';

/**
 * Orders by class priority, then arrival. A request that has waited past its
 * class's limit goes before all that have not, so that no class starves.
 *
 * @public
 */
export class CustomerQueue {
  private readonly lanes = new Map<number, QueuedRequest[]>();
  private count = 0;

  private constructor() {}

  static create(): CustomerQueue {
    return new CustomerQueue();
  }

  get size(): number {
    return this.count;
  }

  /** Puts a request back in its place by arrival. */
  restore(request: QueuedRequest): void {
    const lane = this.laneOf(request);
    const index = lane.findIndex(
      other => other.queuedAtMs > request.queuedAtMs
    );
    if (index < 0) lane.push(request);
    else lane.splice(index, 0, request);
    this.count += 1;
  }

  remove(request: QueuedRequest): void {
    const lane = this.laneOf(request);
    const index = lane.indexOf(request);
    if (index < 0) return;
    lane.splice(index, 1);
    this.count -= 1;
  }

  /** Requests in the order in which they should be tried. */
  *inOrder(nowMs: number): Generator<QueuedRequest> {
    const lanes = [...this.lanes.entries()].sort(([a], [b]) => a - b);
    const overdue = new Set<QueuedRequest>();
    for (const [, lane] of lanes) {
      for (const request of lane) {
        if (nowMs - request.queuedAtMs < request.maxWaitMs) break;
        overdue.add(request);
        yield request;
      }
    }
    for (const [, lane] of lanes) {
      for (const request of lane) {
        if (!overdue.has(request)) yield request;
      }
    }
  }

  private laneOf(request: QueuedRequest): QueuedRequest[] {
    let lane = this.lanes.get(request.priority);
    if (lane === undefined) {
      lane = [];
      this.lanes.set(request.priority, lane);
    }
    return lane;
  }
}

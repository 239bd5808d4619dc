/** Everything that waits in one cell, by customer. */
import {CustomerQueue} from '../fairness/customer_queue.js';

import type {QueuedRequest} from './dispatch_types.js';

/** The waiting requests of a cell. @public */
export class Backlog {
  private readonly queues = new Map<string, CustomerQueue>();
  private shortRequests = 0;
  private readonly byId = new Map<string, QueuedRequest>();

  private constructor() {}

  static create(): Backlog {
    return new Backlog();
  }

  get size(): number {
    return this.byId.size;
  }

  /** Waiting requests that may use the slots for short calls. */
  get shortCount(): number {
    return this.shortRequests;
  }

  /** Customers with at least one waiting request. */
  get customers(): Iterable<string> {
    return this.queues.keys();
  }

  get(requestId: string): QueuedRequest | undefined {
    return this.byId.get(requestId);
  }

  queued(customer: string): number {
    return this.queues.get(customer)?.size ?? 0;
  }

  /** Adds a request in its place by arrival; true when it is the first. */
  add(request: QueuedRequest): boolean {
    const {customer, requestId} = request.announcement;
    let queue = this.queues.get(customer);
    const first = queue === undefined;
    if (queue === undefined) {
      queue = CustomerQueue.create();
      this.queues.set(customer, queue);
    }
    queue.add(request);
    this.byId.set(requestId, request);
    if (request.short) this.shortRequests += 1;
    return first;
  }

  /** Removes a request; true when its customer has none left. */
  remove(request: QueuedRequest): boolean {
    const {customer, requestId} = request.announcement;
    if (!this.byId.delete(requestId)) return false;
    if (request.short) this.shortRequests -= 1;
    const queue = this.queues.get(customer);
    if (queue === undefined) return false;
    queue.remove(request);
    if (queue.size > 0) return false;
    this.queues.delete(customer);
    return true;
  }

  /** One customer's requests in the order in which they should be tried. */
  inOrder(customer: string, nowMs: number): Iterable<QueuedRequest> {
    return this.queues.get(customer)?.inOrder(nowMs) ?? [];
  }

  /** Removes what one entry announced. */
  removeAllOf(entry: string): void {
    for (const request of [...this.byId.values()]) {
      if (request.entry === entry) this.remove(request);
    }
  }

  /** The requests that are equal to one another. */
  equalTo(fingerprint: string): QueuedRequest[] {
    return [...this.byId.values()].filter(
      request => request.announcement.fingerprint === fingerprint
    );
  }
}

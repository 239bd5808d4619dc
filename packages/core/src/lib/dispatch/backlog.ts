import {CustomerQueue} from '../fairness/customer_queue.js';

import type {QueuedRequest} from './dispatch_types.js';

/** The waiting requests of one cell, with a queue for each customer. @public */
export class Backlog {
  /** By customer; a queue is removed with its last request. */
  private readonly queues = new Map<string, CustomerQueue>();
  private shortCalls = 0;
  /** All waiting requests by request id. */
  private readonly byId = new Map<string, QueuedRequest>();

  private constructor() {}

  static create(): Backlog {
    return new Backlog();
  }

  get size(): number {
    return this.byId.size;
  }

  /** Waiting requests that may use the extra slots for short calls. */
  get shortCallCount(): number {
    return this.shortCalls;
  }

  /** Customers with at least one waiting request. */
  get customers(): Iterable<string> {
    return this.queues.keys();
  }

  get(requestId: string): QueuedRequest | undefined {
    return this.byId.get(requestId);
  }

  /** Number of waiting requests of one customer. */
  queueLengthOf(customer: string): number {
    return this.queues.get(customer)?.size ?? 0;
  }

  /**
   * Adds a request, ordered by arrival time within its priority. Returns
   * whether its customer had no other request waiting.
   */
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
    if (request.short) this.shortCalls += 1;
    return first;
  }

  /**
   * Removes a request if it is waiting. Returns whether this removed the last
   * request of its customer.
   */
  remove(request: QueuedRequest): boolean {
    const {customer, requestId} = request.announcement;
    if (!this.byId.delete(requestId)) return false;
    if (request.short) this.shortCalls -= 1;
    const queue = this.queues.get(customer);
    if (queue === undefined) return false;
    queue.remove(request);
    if (queue.size > 0) return false;
    this.queues.delete(customer);
    return true;
  }

  /** One customer's requests, the one to be granted first at the front. */
  inOrder(customer: string, nowMs: number): Iterable<QueuedRequest> {
    return this.queues.get(customer)?.inOrder(nowMs) ?? [];
  }

  /** Removes every request announced by one entry. */
  removeAllOfEntry(entry: string): void {
    for (const request of [...this.byId.values()]) {
      if (request.entry === entry) this.remove(request);
    }
  }

  /** The waiting requests with the given fingerprint, from all customers. */
  withFingerprint(fingerprint: string): QueuedRequest[] {
    return [...this.byId.values()].filter(
      request => request.announcement.fingerprint === fingerprint
    );
  }
}

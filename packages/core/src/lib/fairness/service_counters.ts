/**
 * Service per customer in weighted tokens per share. The customer with the
 * least service goes first; a customer that was idle is lifted to the least
 * of the backlogged, so an idle past earns no credit.
 */

interface CustomerCounter {
  share: number;
  /** Weighted tokens per share. */
  service: number;
}

/** The counters that decide whose turn it is. @public */
export class ServiceCounters {
  private readonly counters = new Map<string, CustomerCounter>();
  /** The service level at which the last grant was made. */
  private virtualTime = 0;
  private highestAdoptedValue = 0;

  private constructor() {}

  static create(): ServiceCounters {
    return new ServiceCounters();
  }

  /** The highest counter taken over from another dispatcher. */
  get highestAdopted(): number {
    return this.highestAdoptedValue;
  }

  /** Service so far, in weighted tokens per share. */
  serviceOf(customer: string): number {
    return this.counters.get(customer)?.service ?? this.virtualTime;
  }

  setShare(customer: string, share: number): void {
    this.counterOf(customer).share = share;
  }

  /** Lifts a customer that becomes backlogged among `backlogged`. */
  lift(customer: string, backlogged: Iterable<string>): void {
    let least = Infinity;
    for (const other of backlogged) {
      if (other === customer) continue;
      least = Math.min(least, this.serviceOf(other));
    }
    const floor = least === Infinity ? this.virtualTime : least;
    const counter = this.counterOf(customer);
    counter.service = Math.max(counter.service, floor);
  }

  /** Charges weighted tokens; a negative cost gives back an overcharge. */
  charge(customer: string, cost: number): void {
    const counter = this.counterOf(customer);
    counter.service += cost / counter.share;
  }

  /** Notes the service level of the customer that is about to be served. */
  advanceVirtualTime(customer: string): void {
    this.virtualTime = Math.max(this.virtualTime, this.serviceOf(customer));
  }

  /** Takes over a counter that another dispatcher had reached. */
  adopt(customer: string, service: number): void {
    this.highestAdoptedValue = Math.max(this.highestAdoptedValue, service);
    this.virtualTime = Math.max(this.virtualTime, service);
    const counter = this.counters.get(customer);
    if (counter === undefined) {
      this.counters.set(customer, {share: 1, service});
    } else {
      counter.service = Math.max(counter.service, service);
    }
  }

  /** Forgets and returns customers that are neither backlogged nor running. */
  evictInactive(active: ReadonlySet<string>): string[] {
    const evicted: string[] = [];
    for (const [customer, counter] of this.counters) {
      if (active.has(customer) || counter.service > this.virtualTime) continue;
      this.counters.delete(customer);
      evicted.push(customer);
    }
    return evicted;
  }

  private counterOf(customer: string): CustomerCounter {
    let counter = this.counters.get(customer);
    if (counter === undefined) {
      counter = {share: 1, service: this.virtualTime};
      this.counters.set(customer, counter);
    }
    return counter;
  }
}

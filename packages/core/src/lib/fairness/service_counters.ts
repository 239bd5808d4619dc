interface CustomerCounter {
  share: number;
  /** Service received, in weighted tokens per share. */
  service: number;
}

/**
 * Counters for fair queueing. Service is the work done for a customer, in
 * weighted tokens divided by the customer's share, and the customer with the
 * least service goes first. A customer that was idle is lifted to the least
 * service among the backlogged customers, so idle time earns no credit.
 *
 * @public
 */
export class ServiceCounters {
  private readonly counters = new Map<string, CustomerCounter>();
  /**
   * The highest service at which a customer was granted a slot, or that was
   * adopted. Customers without a counter start from here.
   */
  private virtualTime = 0;
  private highestAdoptedValue = 0;

  private constructor() {}

  static create(): ServiceCounters {
    return new ServiceCounters();
  }

  /** The highest service adopted from another dispatcher; 0 if none was. */
  get highestAdopted(): number {
    return this.highestAdoptedValue;
  }

  /** Returns the service received so far, in weighted tokens per share. */
  serviceOf(customer: string): number {
    return this.counters.get(customer)?.service ?? this.virtualTime;
  }

  /** Sets the divisor of later charges. */
  setShare(customer: string, share: number): void {
    this.counterOf(customer).share = share;
  }

  /**
   * Lifts a customer that becomes backlogged to the least service of the other
   * `backlogged` customers, or to the virtual time if there are none.
   */
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

  /** Charges weighted tokens; a negative cost refunds an overcharge. */
  charge(customer: string, cost: number): void {
    const counter = this.counterOf(customer);
    counter.service += cost / counter.share;
  }

  /** Advances the virtual time to the service of the customer served next. */
  advanceVirtualTime(customer: string): void {
    this.virtualTime = Math.max(this.virtualTime, this.serviceOf(customer));
  }

  /**
   * Takes over a customer's service from the dispatcher that counted it before.
   * A counter never goes down.
   */
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

  /**
   * Evicts and returns customers that are not in `active`. A customer above the
   * virtual time stays, since it would restart at the virtual time and so lose
   * a part of what it was charged.
   */
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

/**
 * Service per customer in weighted tokens per share. The customer with the
 * least service goes first; a customer that was idle is lifted to the least
 * of the backlogged, so an idle past earns no credit.
 */

interface Account {
  share: number;
  /** Weighted tokens per share. */
  service: number;
}

/** The counters that decide whose turn it is. @public */
export class ServiceCounters {
  private readonly accounts = new Map<string, Account>();
  /** The service level at which the last grant was made. */
  private level = 0;
  private adopted = 0;

  private constructor() {}

  static create(): ServiceCounters {
    return new ServiceCounters();
  }

  /** The highest counter taken over from another dispatcher. */
  get highestAdopted(): number {
    return this.adopted;
  }

  /** Service so far, in weighted tokens per share. */
  serviceOf(customer: string): number {
    return this.accounts.get(customer)?.service ?? this.level;
  }

  setShare(customer: string, share: number): void {
    this.accountOf(customer).share = share;
  }

  /** Lifts a customer that becomes backlogged among `backlogged`. */
  lift(customer: string, backlogged: Iterable<string>): void {
    let least = Infinity;
    for (const other of backlogged) {
      if (other === customer) continue;
      least = Math.min(least, this.serviceOf(other));
    }
    const floor = least === Infinity ? this.level : least;
    const account = this.accountOf(customer);
    account.service = Math.max(account.service, floor);
  }

  /** Charges weighted tokens; a negative cost gives back an overcharge. */
  charge(customer: string, cost: number): void {
    const account = this.accountOf(customer);
    account.service += cost / account.share;
  }

  /** Notes the service level of the customer that is about to be served. */
  advanceVirtualTime(customer: string): void {
    this.level = Math.max(this.level, this.serviceOf(customer));
  }

  /** Takes over a counter that another dispatcher had reached. */
  adopt(customer: string, service: number): void {
    this.adopted = Math.max(this.adopted, service);
    this.level = Math.max(this.level, service);
    const account = this.accounts.get(customer);
    if (account === undefined) {
      this.accounts.set(customer, {share: 1, service});
    } else {
      account.service = Math.max(account.service, service);
    }
  }

  /** Forgets and returns customers that are neither backlogged nor running. */
  evictInactive(active: ReadonlySet<string>): string[] {
    const forgotten: string[] = [];
    for (const [customer, account] of this.accounts) {
      if (active.has(customer) || account.service > this.level) continue;
      this.accounts.delete(customer);
      forgotten.push(customer);
    }
    return forgotten;
  }

  private accountOf(customer: string): Account {
    let account = this.accounts.get(customer);
    if (account === undefined) {
      account = {share: 1, service: this.level};
      this.accounts.set(customer, account);
    }
    return account;
  }
}

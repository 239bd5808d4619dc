import {ENGINE_POOL} from '@applebend/routing';

import type {ShareLevels} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {UsageRow} from '../peers/peer_message.js';

const SECOND_MS = 1000;
/** Rows of one line; limits its length. */
const MAX_ROWS = 32;

/** One customer's usage in one second, in weighted tokens. @public */
export interface CustomerUsageRow {
  readonly customer: string;
  /** Requested tokens. */
  readonly asked: number;
  /** Admitted tokens. */
  readonly given: number;
  /** Number of refused requests. */
  readonly refusals: number;
}

/**
 * Logs the usage of all customers at this instance, one line for each second
 * with any usage, written at the first usage of a later one. Together, the
 * logs of all instances show which customers waited while others were served.
 * A line lists the customers that requested most and counts the others.
 *
 * @public
 */
export class CustomerUsageLog {
  private readonly rows = new Map<string, CustomerUsageRow>();
  private second = -Infinity;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly levels: () => ShareLevels
  ) {}

  /** @param levels - returns the current share levels, for the log */
  static create(
    log: Logger,
    clock: Clock,
    levels: () => ShareLevels
  ): CustomerUsageLog {
    return new CustomerUsageLog(log, clock, levels);
  }

  /** Adds the usage of one request; that of plain services is left out. */
  onUsage({pool, customer, requested, admitted}: UsageRow): void {
    if (pool !== ENGINE_POOL) return;
    const second = Math.floor(this.clock.wallMs() / SECOND_MS);
    if (second !== this.second) this.flush();
    this.second = second;
    const row = this.rows.get(customer);
    this.rows.set(customer, {
      customer,
      asked: (row?.asked ?? 0) + requested,
      given: (row?.given ?? 0) + admitted,
      refusals: (row?.refusals ?? 0) + (admitted < requested ? 1 : 0),
    });
  }

  /** Writes the line of the last second with any usage. */
  flush(): void {
    if (this.rows.size === 0) return;
    const uses = [...this.rows.values()].sort((a, b) => b.asked - a.asked);
    this.rows.clear();
    this.log.info('customer use', {
      second: this.second,
      levels: this.levels(),
      uses: uses.slice(0, MAX_ROWS),
      customersLeftOut: Math.max(0, uses.length - MAX_ROWS),
    });
  }
}

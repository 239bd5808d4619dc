/**
 * One line a second with what each customer asked for and was given at this
 * instance, so that the logs of all instances show who waited for whom. Rows
 * beyond a limit are counted, those that asked for least first.
 */
import type {ShareLevels} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

const SECOND_MS = 1000;
const MAX_ROWS = 32;

/** One customer's second, in weighted tokens. @public */
export interface CustomerUsageRow {
  readonly customer: string;
  readonly asked: number;
  readonly given: number;
  readonly refusals: number;
}

/** @public */
export class CustomerUsageLog {
  private readonly rows = new Map<string, CustomerUsageRow>();
  private second = -Infinity;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly levels: () => ShareLevels
  ) {}

  static create(
    log: Logger,
    clock: Clock,
    levels: () => ShareLevels
  ): CustomerUsageLog {
    return new CustomerUsageLog(log, clock, levels);
  }

  onUsage(customer: string, asked: number, given: number): void {
    const second = Math.floor(this.clock.wallMs() / SECOND_MS);
    if (second !== this.second) this.flush();
    this.second = second;
    const row = this.rows.get(customer);
    this.rows.set(customer, {
      customer,
      asked: (row?.asked ?? 0) + asked,
      given: (row?.given ?? 0) + given,
      refusals: (row?.refusals ?? 0) + (given < asked ? 1 : 0),
    });
  }

  /** Writes the line of the second that has passed. */
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

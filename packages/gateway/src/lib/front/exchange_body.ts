import type {RequestCrashes} from '../crash/request_crashes.js';
import type {InboundRequest} from './exchange_deps.js';

/**
 * The body of a request while an exchange, or a call to a target, holds it. Its
 * memory is freed when the last of them has dropped it.
 *
 * @public
 */
export class ExchangeBody {
  /** The exchange, and the calls that have not written it. */
  private holders = 1;
  private isFreed = false;

  private constructor(
    private readonly inbound: InboundRequest,
    private readonly crashes: RequestCrashes
  ) {}

  static create(
    inbound: InboundRequest,
    crashes: RequestCrashes
  ): ExchangeBody {
    return new ExchangeBody(inbound, crashes);
  }

  /** Called when a call holds the body. */
  hold(): void {
    this.holders += 1;
  }

  /** Called when a call has written the body or is closed. */
  drop(): void {
    this.holders -= 1;
    if (this.holders === 0) this.inbound.bodyClaim?.release();
  }

  /** Called when no target can get the body again; repeats have no effect. */
  free(): void {
    if (this.isFreed) return;
    this.isFreed = true;
    this.inbound.body = undefined;
    this.crashes.freeBody();
    this.drop();
  }
}

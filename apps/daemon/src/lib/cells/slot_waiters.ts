import type {DispatchRefusalReason} from '@applebend/core';

/** A slot granted to a request. @public */
export interface GrantedSlot {
  readonly grantId: string;
  readonly target: string;
  /** Monotonic time here after which the request must not be sent. */
  readonly expiresAtMs: number;
}

/** Outcome of a wait for a slot. @public */
export type Acquisition =
  | {readonly type: 'granted'; readonly slot: GrantedSlot}
  | {
      readonly type: 'refused';
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    }
  | {readonly type: 'cancelled'};

/** The requests of one cell that wait for a slot. @public */
export class SlotWaiters {
  /** By request id. */
  private readonly waiters = new Map<string, (acquired: Acquisition) => void>();

  private constructor() {}

  static create(): SlotWaiters {
    return new SlotWaiters();
  }

  /**
   * Waits until the request is settled. An abort ends the wait as cancelled,
   * after a call of `onCancel`; the signal must not be aborted yet.
   */
  wait(
    requestId: string,
    signal: AbortSignal,
    onCancel: () => void
  ): Promise<Acquisition> {
    return new Promise(resolve => {
      const onAbort = () => {
        this.waiters.delete(requestId);
        onCancel();
        resolve({type: 'cancelled'});
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.waiters.set(requestId, acquired => {
        signal.removeEventListener('abort', onAbort);
        resolve(acquired);
      });
    });
  }

  /** Ends a wait. Returns false if the request is not waiting any more. */
  settle(requestId: string, acquired: Acquisition): boolean {
    const resolve = this.waiters.get(requestId);
    this.waiters.delete(requestId);
    resolve?.(acquired);
    return resolve !== undefined;
  }
}

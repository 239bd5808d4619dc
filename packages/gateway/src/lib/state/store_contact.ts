import {sleep, systemClock} from '@applebend/utils';

import type {Logger} from '@applebend/telemetry';

/** Why a call to the store failed. @public */
export interface StoreCallError {
  /** `era_changed` if the store was restored from a copy since the call. */
  readonly kind: string;
  readonly message: string;
  /** The call, if it got no response. */
  readonly call?: StoreCallTrace;
}

/** A call as it is logged. @public */
export interface StoreCallTrace {
  readonly path: string;
  /** Time from the call to its failure. */
  readonly elapsedMs: number;
  /** Whether its connection had served an earlier call. */
  readonly isKeptConnection: boolean;
  /** Whether the time for it was over, and the connection still open. */
  readonly isTimeout: boolean;
}

/** What showed that the store responds. @public */
export const STORE_SIGN = {
  targets: 'targets',
  config: 'config',
  peers: 'peers',
  registration: 'registration',
  /** The parent, which reads the store for this instance. */
  parent: 'parent',
} as const;

/** One of these signs. @public */
export type StoreSign = (typeof STORE_SIGN)[keyof typeof STORE_SIGN];

const INITIAL_RETRY_MS = 250;
/** Longest pause between retries if each instance reads for itself. */
const MAX_RETRY_MS = 400;
/** Longest pause between retries of an instance that another one reads for. */
const MAX_SHARED_RETRY_MS = 2000;
const RETRY_FACTOR = 1.5;
/**
 * Time after an outage, or a restore from a copy, that targets have to register
 * again.
 */
const EXPIRY_GRACE_MS = 2200;
/** An outage, in which no peer reads either, lasts longer than this. */
const MIN_OUTAGE_MS = 1500;

/**
 * Whether the store responds, how long to wait before a retry, and until when a
 * record that is missing after an outage may still return.
 *
 * @public
 */
export class StoreContact {
  /** When the store was lost; undefined while it responds. */
  private lostAtMs: number | undefined;
  private retryMs = INITIAL_RETRY_MS;
  private graceUntilMs = -Infinity;
  /** When a peer last sent a read that the store answered. */
  private peerReadAtMs = -Infinity;

  private constructor(
    private readonly log: Logger,
    private readonly hasReader: () => boolean
  ) {}

  /** @param hasReader - whether another instance reads for this one */
  static create(log: Logger, hasReader: () => boolean): StoreContact {
    return new StoreContact(log, hasReader);
  }

  get isLost(): boolean {
    return this.lostAtMs !== undefined;
  }

  /** Time for which the store has been lost; 0 while it responds. */
  get lostMs(): number {
    if (this.lostAtMs === undefined) return 0;
    return systemClock.monotonicMs() - this.lostAtMs;
  }

  /** Until then, by monotonic milliseconds, missing records may return. */
  get graceEndsAtMs(): number {
    return this.graceUntilMs;
  }

  /** Records a failed call, and resolves when the next one may be sent. */
  async onError(err: StoreCallError): Promise<void> {
    // The store responded, in another era; there is nothing to wait for.
    if (err.kind === 'era_changed') return;
    if (this.lostAtMs === undefined) {
      this.log.warn('store lost', {...err});
      this.lostAtMs = systemClock.monotonicMs();
    }
    const maxMs = this.hasReader() ? MAX_SHARED_RETRY_MS : MAX_RETRY_MS;
    const {retryMs} = this;
    this.retryMs = Math.min(maxMs, retryMs * RETRY_FACTOR);
    await sleep(retryMs);
  }

  onResponse(sign: StoreSign): void {
    this.retryMs = INITIAL_RETRY_MS;
    if (this.lostAtMs === undefined) return;
    const nowMs = systemClock.monotonicMs();
    const {lostMs} = this;
    const lastReadAtMs = Math.max(this.lostAtMs, this.peerReadAtMs);
    this.lostAtMs = undefined;
    if (nowMs - lastReadAtMs > MIN_OUTAGE_MS) {
      this.graceUntilMs = nowMs + EXPIRY_GRACE_MS;
    }
    this.log.info('store regained', {lostMs, by: sign});
  }

  /** Called with the time at which a peer sent a read that succeeded. */
  onPeerRead(sentAtMs: number): void {
    this.peerReadAtMs = Math.max(this.peerReadAtMs, sentAtMs);
  }

  /** Called when the store was restored from a copy. */
  onNewEra(): void {
    this.graceUntilMs = systemClock.monotonicMs() + EXPIRY_GRACE_MS;
  }
}

import {TokenBucket} from './token_bucket.js';

import type {ColdStartSpec} from '../config/fleet_config.js';

/** Why a target counts as cold. @public */
export const COLD_REASON = {
  /** Its registration says so. */
  registered: 'registered',
  /** Nothing listened at its address, so it may have restarted. */
  lost: 'lost',
  /** The evacuation of its failure domain ended. */
  evacuationEnded: 'evacuation_ended',
} as const;

/** One of the reasons for which a target counts as cold. @public */
export type ColdReason = (typeof COLD_REASON)[keyof typeof COLD_REASON];

/** What a cold target may get in any second. @public */
export interface ColdBound {
  /** Factor of its rate. */
  readonly overage: number;
  /** Requests in addition. */
  readonly slack: number;
}

/** The share of a cold target's rate that belongs to an instance. @public */
export interface ColdShare {
  /** Number of instances that have a share. */
  readonly owners: number;
  /** Requests a second of each of them. */
  readonly ratePerS: number;
}

/** What a registration of a target says. @public */
export interface ColdRegistration {
  readonly registeredAt: number;
  readonly coldLeftMs: number;
}

/** A target may be warm this much later than its registration, as read, says. */
const REGISTERED_MARGIN_MS = 500;
/** At the end of a cold time its last renewal may not have been written yet. */
const RENEWAL_WAIT_MS = 1500;
/** A lost target is registered anew, or removed, within this time. */
const MAX_LOST_MS = 10_000;
/** The first renewal after an event may have been written before it. */
const RENEWALS_TO_TRUST = 2;
/**
 * Longest advice of an instance without a share: at a retry the caller may reach
 * an owner.
 */
const MAX_RETRY_MS = 300;
/** Requests that an owner may send at once. */
const BURST = 1;

/** A target that counts as cold without having said so. */
interface Assumption {
  readonly untilMs: number;
  /** Renewals of the registration since then. */
  readonly renewals: number;
}

/**
 * Divides the rate of a cold target among so many instances that it stays within
 * its bound if each of them, at any time, sends one request and its share of the
 * rate. A bound that leaves no room for one request beside the rate lowers the
 * rate. Returns undefined if the bound is infinite or there is no rate.
 *
 * @public
 */
export function coldShareOf(
  spec: ColdStartSpec | undefined,
  {overage, slack}: ColdBound
): ColdShare | undefined {
  if (spec === undefined || !(spec.ratePerS > 0)) return undefined;
  const {ratePerS} = spec;
  const headroom = ratePerS * (overage - 1) + slack;
  if (headroom === Infinity) return undefined;
  const most = Math.max(1, Math.floor(ratePerS));
  const owners = Math.min(most, Math.max(1, Math.floor(headroom)));
  const totalPerS = Math.min(ratePerS, ratePerS + headroom - owners * BURST);
  return {owners, ratePerS: Math.max(0, totalPerS) / owners};
}

/**
 * Whether a target is cold, and what this instance may send to it meanwhile. The
 * owners of its rate send at most one request at once and their share of the
 * rate; no other instance sends any. The bucket also counts the requests that are
 * sent while the target is warm, since it may become cold right after them.
 *
 * @public
 */
export class ColdStart {
  private registeredAt = -Infinity;
  private registeredUntilMs = -Infinity;
  private readonly assumed = new Map<ColdReason, Assumption>();
  /** Longest time for which it is cold; undefined if it is never limited. */
  private durationMs: number | undefined;
  /** Of this instance; 0 if it is no owner. */
  private shareRatePerS = 0;

  private constructor(private readonly bucket: TokenBucket) {}

  static create(): ColdStart {
    return new ColdStart(TokenBucket.create());
  }

  /**
   * For the next incarnation of the target. What was sent to the former one
   * still counts, since it is not known when the next one started.
   */
  createSuccessor(): ColdStart {
    return new ColdStart(this.bucket);
  }

  /**
   * Sets what the service is configured with.
   *
   * @param durationMs - undefined if its targets are not limited
   * @param ratePerS - the share of this instance; 0 if it has none
   */
  setShare(
    durationMs: number | undefined,
    ratePerS: number,
    nowMs: number
  ): void {
    this.durationMs = durationMs;
    this.shareRatePerS = ratePerS;
    this.bucket.setRate(ratePerS, BURST, nowMs);
  }

  /** Whether its service is configured to limit it while it is cold. */
  get isLimited(): boolean {
    return this.durationMs !== undefined;
  }

  /** Whether it counts as cold because it was lost. */
  isLost(nowMs: number): boolean {
    const untilMs = this.assumed.get(COLD_REASON.lost)?.untilMs ?? -Infinity;
    return this.isLimited && nowMs < untilMs;
  }

  isCold(nowMs: number): boolean {
    return this.reason(nowMs) !== undefined;
  }

  /** Why the target is cold now; undefined if it is not, or not limited. */
  reason(nowMs: number): ColdReason | undefined {
    if (this.durationMs === undefined) return undefined;
    if (nowMs < this.registeredUntilMs) return COLD_REASON.registered;
    for (const [reason, {untilMs}] of this.assumed) {
      if (nowMs < untilMs) return reason;
    }
    return undefined;
  }

  /** When the target is warm, by what is known now. */
  get warmAtMs(): number {
    const times = [...this.assumed.values()].map(({untilMs}) => untilMs);
    return Math.max(this.registeredUntilMs, ...times);
  }

  /**
   * Whether the instance needs to read the registration itself. A list that peers
   * confirm as unchanged may have been renewed: near the end of the cold time the
   * target may have become cold again, and after an evacuation renewals count.
   */
  needsRenewal(nowMs: number): boolean {
    if (this.durationMs === undefined) return false;
    const ended = this.assumed.get(COLD_REASON.evacuationEnded);
    if (ended !== undefined && nowMs < ended.untilMs) return true;
    const leftMs = this.registeredUntilMs - nowMs;
    return leftMs <= REGISTERED_MARGIN_MS && leftMs > -RENEWAL_WAIT_MS;
  }

  /** Requests a second that this instance may send; Infinity if not cold. */
  rate(nowMs: number): number {
    return this.isCold(nowMs) ? this.shareRatePerS : Infinity;
  }

  /** Whether this instance may send a request now. */
  isUsable(nowMs: number): boolean {
    return this.availableAtMs(nowMs) <= nowMs;
  }

  /** When this instance may send a request; not after `nowMs` if it may now. */
  availableAtMs(nowMs: number): number {
    if (!this.isCold(nowMs)) return nowMs;
    if (this.shareRatePerS === 0) return this.warmAtMs;
    return Math.min(this.warmAtMs, this.bucket.holdsAtMs(1, nowMs));
  }

  /**
   * When a caller that is refused now should retry: where this instance has no
   * share, soon, since another instance may have one.
   */
  retryAtMs(nowMs: number): number {
    const availableAtMs = this.availableAtMs(nowMs);
    if (this.rate(nowMs) > 0) return availableAtMs;
    return Math.min(availableAtMs, nowMs + MAX_RETRY_MS);
  }

  /** Counts a request if it may be sent now; returns whether it may. */
  trySend(nowMs: number): boolean {
    if (this.durationMs === undefined) return true;
    if (!this.isUsable(nowMs)) return false;
    this.bucket.take(1, 0, nowMs);
    return true;
  }

  /** Applies a registration of this incarnation, once. */
  onRegistered(
    {registeredAt, coldLeftMs}: ColdRegistration,
    nowMs: number
  ): void {
    if (registeredAt === this.registeredAt) return;
    this.registeredAt = registeredAt;
    const isCold = coldLeftMs > 0;
    this.registeredUntilMs = isCold
      ? nowMs + coldLeftMs + REGISTERED_MARGIN_MS
      : -Infinity;
    for (const [reason, {untilMs, renewals}] of [...this.assumed]) {
      const isTrusted = renewals + 1 >= RENEWALS_TO_TRUST;
      const isReplaced = isCold || reason === COLD_REASON.evacuationEnded;
      if (isTrusted && isReplaced) this.assumed.delete(reason);
      else this.assumed.set(reason, {untilMs, renewals: renewals + 1});
    }
  }

  /**
   * Records that the target refused a connection of this instance: it may be back
   * before its new registration is read.
   */
  onLost(nowMs: number): void {
    this.assume(COLD_REASON.lost, nowMs + MAX_LOST_MS);
  }

  /**
   * Records a `TargetLoss`, of this instance or a peer. The same loss is reported
   * several times, which does not prolong the cold time.
   */
  onTargetLoss(nowMs: number): void {
    if (!this.isLost(nowMs)) this.onLost(nowMs);
  }

  /** Records that the evacuation of the target's failure domain ended. */
  onEvacuationEnded(nowMs: number): void {
    this.assume(COLD_REASON.evacuationEnded, nowMs + (this.durationMs ?? 0));
  }

  private assume(reason: ColdReason, untilMs: number): void {
    const known = this.assumed.get(reason)?.untilMs ?? -Infinity;
    this.assumed.set(reason, {untilMs: Math.max(known, untilMs), renewals: 0});
  }
}

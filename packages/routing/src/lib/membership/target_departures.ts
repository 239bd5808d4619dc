import {incarnationOf, TARGET_STATE} from '../config/target.js';

import type {Target, TargetIncarnation} from '../config/target.js';

/** How a target departed. @public */
export const DEPARTURE_KIND = {
  /** It said so, or its registration did. Final for the incarnation. */
  leaving: 'leaving',
  /** Its registration was removed or expired; it may be registered again. */
  removed: 'removed',
} as const;

/** One of the kinds of departure. @public */
export type DepartureKind =
  (typeof DEPARTURE_KIND)[keyof typeof DEPARTURE_KIND];

/** The departure of one incarnation of a target. @public */
export interface Departure {
  readonly kind: DepartureKind;
  readonly target: TargetIncarnation;
  /** Era of the store in which it was noticed; 0 if the store has no eras. */
  readonly storeEra: number;
}

/** The registrations of one read of the store. @public */
export interface TargetList {
  readonly targets: readonly Target[];
  /** Era of the store that was read; 0 if the store has no eras. */
  readonly storeEra: number;
  /**
   * Registrations with a lower `registeredAt` were not renewed in this era: the
   * store restored them from its copy.
   */
  readonly restoredBefore: number;
}

/** Departures are forgotten after this time. */
const RETENTION_MS = 120_000;

interface DepartureRecord extends Departure {
  readonly noticedAtMs: number;
}

/**
 * Remembers which incarnations of targets are leaving or removed, so that no
 * list from an older copy of the store brings them back. A leaving one stays so,
 * whatever is registered. A removed one comes back with any later registration,
 * but in a new era of the store only once the target has renewed it there.
 *
 * @public
 */
export class TargetDepartures {
  private readonly records = new Map<string, DepartureRecord>();
  /** The targets of the last list, by key. */
  private listed = new Map<string, Target>();

  private constructor() {}

  static create(): TargetDepartures {
    return new TargetDepartures();
  }

  /**
   * Returns whether an incarnation of a target is known to be leaving.
   *
   * @param incarnation - as `incarnationOf` names it
   */
  isLeaving(incarnation: string): boolean {
    return this.records.get(incarnation)?.kind === DEPARTURE_KIND.leaving;
  }

  /**
   * Records a departure noticed here or by a peer. Returns whether it is news;
   * one that is leaving cannot be removed in addition.
   */
  add(departure: Departure, nowMs: number): boolean {
    const key = incarnationOf(departure.target);
    const known = this.records.get(key);
    const isKnown =
      known !== undefined &&
      (known.kind === departure.kind || known.kind === DEPARTURE_KIND.leaving);
    if (isKnown) return false;
    this.records.set(key, {...departure, noticedAtMs: nowMs});
    return true;
  }

  /** The departures of the last two minutes. */
  recent(nowMs: number): Departure[] {
    this.evictOld(nowMs);
    return [...this.records.values()].map(({kind, target, storeEra}) => ({
      kind,
      target,
      storeEra,
    }));
  }

  /**
   * Returns the targets of a list that are registered, with the states that are
   * known to be in force, and notices the departures that the list shows.
   */
  apply(list: TargetList, nowMs: number): Target[] {
    const current: Target[] = [];
    const listed = new Map<string, Target>();
    for (const target of list.targets) {
      const key = incarnationOf(target);
      if (this.isRestoredRemoved(target, list)) continue;
      listed.set(key, target);
      current.push(this.withKnownState(target, list, nowMs));
    }
    this.noticeRemoved(listed, list, nowMs);
    this.listed = listed;
    this.evictOld(nowMs);
    return current;
  }

  /** Whether the target was removed before the store was restored. */
  private isRestoredRemoved(target: Target, list: TargetList): boolean {
    const key = incarnationOf(target);
    const record = this.records.get(key);
    if (record?.kind !== DEPARTURE_KIND.removed) return false;
    const isOtherEra = record.storeEra < list.storeEra;
    if (isOtherEra && target.registeredAt < list.restoredBefore) return true;
    this.records.delete(key);
    return false;
  }

  private withKnownState(
    target: Target,
    {storeEra}: TargetList,
    nowMs: number
  ): Target {
    if (target.state === TARGET_STATE.leaving) {
      this.add({kind: DEPARTURE_KIND.leaving, target, storeEra}, nowMs);
      return target;
    }
    if (!this.isLeaving(incarnationOf(target))) return target;
    return {...target, state: TARGET_STATE.leaving};
  }

  private noticeRemoved(
    listed: ReadonlyMap<string, Target>,
    {storeEra}: TargetList,
    nowMs: number
  ): void {
    for (const [key, target] of this.listed) {
      if (listed.has(key)) continue;
      this.add({kind: DEPARTURE_KIND.removed, target, storeEra}, nowMs);
    }
  }

  private evictOld(nowMs: number): void {
    for (const [key, {noticedAtMs}] of this.records) {
      if (this.listed.has(key)) continue;
      if (nowMs - noticedAtMs > RETENTION_MS) this.records.delete(key);
    }
  }
}

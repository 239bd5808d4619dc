import {rendezvousPick} from '../membership/rendezvous.js';
import {LimitController} from './limit_controller.js';

import type {TargetView} from './dispatch_types.js';
import type {LimitSettings, TokenTimes} from './limit_controller.js';

interface TargetSlots {
  readonly id: string;
  /** Leaving targets get no new grants. */
  leaving: boolean;
  /** No grants before this time, because the target was lost. */
  ejectedUntilMs: number;
  /** Losses since the last complete response. */
  consecutiveLosses: number;
  limit: LimitController;
  /** The owner of each slot by slot number, computed on first use. */
  owners: string[];
  /** Slots below the limit that are owned by a synced router. */
  usable: number;
  /** Slots of held grants. */
  inUse: number;
  /** Slots of entries whose link is lost; their requests may still run. */
  orphaned: number;
}

/** Slot settings of a cell's targets. @public */
export interface SlotSettings {
  /** Range and latency objectives of each target's concurrency limit. */
  readonly limits: LimitSettings;
  /** Slots of each target above its limit that only short calls may use. */
  readonly shortCallSlots: number;
}

/** Ejection after the first loss; doubled for each consecutive loss. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 8000;

/**
 * The slots of one cell's targets that a dispatcher may grant, and their use.
 *
 * Rendezvous hashing assigns every slot to one router (an instance with an
 * entry) as its owner. A dispatcher grants only slots owned by routers that
 * are synced with it, and a router is synced with one dispatcher at a time. So
 * the dispatchers on the two sides of a network partition share each target's
 * limit without any coordination.
 *
 * @public
 */
export class SlotTable {
  private readonly targets = new Map<string, TargetSlots>();
  private routers: readonly string[] = [];
  private syncedRouters: ReadonlySet<string> = new Set();

  private constructor(private settings: SlotSettings) {}

  static create(settings: SlotSettings): SlotTable {
    return new SlotTable(settings);
  }

  get targetIds(): string[] {
    return [...this.targets.keys()];
  }

  /** Whether every router that may own a slot is synced with the dispatcher. */
  get allRoutersSynced(): boolean {
    return this.routers.every(router => this.syncedRouters.has(router));
  }

  /**
   * Applies new settings. If the limits changed, each target starts again at
   * the initial limit; requests that run above it may finish.
   */
  setSettings(settings: SlotSettings): void {
    const before = this.settings.limits;
    this.settings = settings;
    if (sameLimits(before, settings.limits)) return;
    for (const target of this.targets.values()) {
      target.limit = LimitController.create(settings.limits);
      this.recountUsable(target);
    }
  }

  /**
   * Sets the targets of the cell. A target that is not listed any more is
   * removed once none of its slots is in use.
   */
  setTargets(views: readonly TargetView[]): void {
    const seen = new Set(views.map(view => view.id));
    for (const [id, target] of this.targets) {
      if (!seen.has(id) && target.inUse + target.orphaned === 0) {
        this.targets.delete(id);
      } else if (!seen.has(id)) {
        target.leaving = true;
      }
    }
    for (const view of views) {
      const target = this.targets.get(view.id) ?? this.addTarget(view.id);
      target.leaving = view.leaving;
    }
  }

  /** Sets the routers that may own slots, and those synced here. */
  setRouters(routers: readonly string[], synced: ReadonlySet<string>): void {
    const unchanged =
      routers.length === this.routers.length &&
      routers.every((router, i) => router === this.routers[i]);
    this.routers = routers;
    this.syncedRouters = synced;
    for (const target of this.targets.values()) {
      if (!unchanged) target.owners = [];
      this.recountUsable(target);
    }
  }

  /** Targets with a free slot that `accepts` admits, least loaded first. */
  freeTargets(
    short: boolean,
    nowMs: number,
    accepts: (target: string) => boolean
  ): string[] {
    const free = [...this.targets.values()]
      .filter(target => this.hasRoom(target, short, nowMs))
      .filter(target => accepts(target.id));
    free.sort((a, b) => this.loadFraction(a) - this.loadFraction(b));
    return free.map(target => target.id);
  }

  /** Slots in use or orphaned, as a fraction of the target's limit. */
  load(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 1 : this.loadFraction(target);
  }

  /** Whether any target has a free slot; `short` includes short-call slots. */
  hasFreeSlot(short: boolean, nowMs: number): boolean {
    for (const target of this.targets.values()) {
      if (this.hasRoom(target, short, nowMs)) return true;
    }
    return false;
  }

  occupy(id: string): void {
    const target = this.targets.get(id) ?? this.addTarget(id);
    target.inUse += 1;
    if (target.inUse >= target.usable) target.limit.onFull();
  }

  release(id: string): void {
    const target = this.targets.get(id);
    if (target !== undefined) target.inUse = Math.max(0, target.inUse - 1);
  }

  /** Turns a slot in use into an orphaned one. */
  orphan(id: string): void {
    const target = this.targets.get(id);
    if (target === undefined) return;
    this.release(id);
    target.orphaned += 1;
  }

  releaseOrphan(id: string): void {
    const target = this.targets.get(id);
    if (target !== undefined)
      target.orphaned = Math.max(0, target.orphaned - 1);
  }

  /** Records a complete response; `times` is undefined if not measured. */
  onResponse(id: string, times: TokenTimes | undefined): void {
    const target = this.targets.get(id);
    if (target === undefined) return;
    target.consecutiveLosses = 0;
    if (times === undefined) return;
    if (target.limit.onResponse(times)) this.recountUsable(target);
  }

  /**
   * Ejects a target that was lost, for twice as long after each consecutive
   * loss, up to a maximum. Losses reported during an ejection do not extend it.
   */
  onLost(id: string, nowMs: number): void {
    const target = this.targets.get(id);
    if (target === undefined || nowMs < target.ejectedUntilMs) return;
    const delayMs = Math.min(
      MAX_EJECTION_MS,
      MIN_EJECTION_MS * 2 ** target.consecutiveLosses
    );
    target.consecutiveLosses += 1;
    target.ejectedUntilMs = nowMs + delayMs;
  }

  /** Slots in use or orphaned. */
  inFlight(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 0 : target.inUse + target.orphaned;
  }

  /** The target's limit plus its slots for short calls. */
  maxInFlight(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 0 : target.limit.slots + this.shortCallSlots;
  }

  /** Slots that the dispatcher may grant, free or in use. */
  usableSlots(): number {
    let total = 0;
    for (const target of this.targets.values()) {
      if (!target.leaving) total += target.usable;
    }
    return total;
  }

  private get shortCallSlots(): number {
    return this.settings.shortCallSlots;
  }

  /**
   * Whether a target has a free slot. The slots for short calls have no owner:
   * they may be granted only if all routers are synced here.
   */
  private hasRoom(target: TargetSlots, short: boolean, nowMs: number): boolean {
    if (target.leaving || nowMs < target.ejectedUntilMs) return false;
    const extraSlots = short && this.allRoutersSynced ? this.shortCallSlots : 0;
    if (target.inUse >= target.usable + extraSlots) return false;
    return target.inUse + target.orphaned < target.limit.slots + extraSlots;
  }

  private loadFraction(target: TargetSlots): number {
    return (target.inUse + target.orphaned) / target.limit.slots;
  }

  private addTarget(id: string): TargetSlots {
    const target: TargetSlots = {
      id,
      leaving: false,
      ejectedUntilMs: 0,
      consecutiveLosses: 0,
      limit: LimitController.create(this.settings.limits),
      owners: [],
      usable: 0,
      inUse: 0,
      orphaned: 0,
    };
    this.targets.set(id, target);
    this.recountUsable(target);
    return target;
  }

  private recountUsable(target: TargetSlots): void {
    let usable = 0;
    for (let slot = 0; slot < target.limit.slots; slot++) {
      if (this.syncedRouters.has(this.ownerOf(target, slot))) usable += 1;
    }
    target.usable = usable;
  }

  private ownerOf(target: TargetSlots, slot: number): string {
    const cached = target.owners[slot];
    if (cached !== undefined) return cached;
    const owner = rendezvousPick(`${target.id}#${slot}`, this.routers) ?? '';
    target.owners[slot] = owner;
    return owner;
  }
}

function sameLimits(a: LimitSettings, b: LimitSettings): boolean {
  return (
    a.startSlots === b.startSlots &&
    a.maxSlots === b.maxSlots &&
    a.firstTokenTargetMs === b.firstTokenTargetMs &&
    a.betweenTokensTargetMs === b.betweenTokensTargetMs
  );
}

/**
 * Which slots of each target a dispatcher may grant, and which are in use.
 *
 * Every slot belongs to one router by rendezvous hashing. A dispatcher grants
 * only the slots of routers that are synced with it, and a router is synced
 * with one dispatcher at a time. So the two sides of a cut share each
 * target's limit without having to agree on anything.
 */
import {rendezvousPick} from '../membership/rendezvous.js';
import {LimitController} from './limit_controller.js';

import type {TargetView} from './dispatch_types.js';
import type {LimitSettings, TokenTimes} from './limit_controller.js';

interface TargetSlots {
  readonly id: string;
  leaving: boolean;
  /** No grants before this time, after the target was lost. */
  shunnedUntilMs: number;
  losses: number;
  limit: LimitController;
  /** Slot owners by slot number, filled as the limit asks for them. */
  owners: string[];
  /** Slots that may be granted: below the limit and owned by a member. */
  usable: number;
  busy: number;
  /** Slots of silent entries that may still be running. */
  ghosts: number;
}

/** Settings of a cell's targets. @public */
export interface SlotSettings {
  readonly limits: LimitSettings;
  readonly shortCallSlots: number;
}

const SHUN_BASE_MS = 500;
const SHUN_MAX_MS = 8000;

/** The slots of one cell. @public */
export class SlotTable {
  private readonly targets = new Map<string, TargetSlots>();
  private routers: readonly string[] = [];
  private synced: ReadonlySet<string> = new Set();

  private constructor(private settings: SlotSettings) {}

  static create(settings: SlotSettings): SlotTable {
    return new SlotTable(settings);
  }

  get ids(): string[] {
    return [...this.targets.keys()];
  }

  /** Whether every router that may own a slot is synced here. */
  get whole(): boolean {
    return this.routers.every(router => this.synced.has(router));
  }

  /** New limits start anew; what runs above them is let end. */
  setSettings(settings: SlotSettings): void {
    const before = this.settings.limits;
    this.settings = settings;
    if (sameLimits(before, settings.limits)) return;
    for (const target of this.targets.values()) {
      target.limit = LimitController.create(settings.limits);
      this.recount(target);
    }
  }

  setTargets(views: readonly TargetView[]): void {
    const seen = new Set(views.map(view => view.id));
    for (const [id, target] of this.targets) {
      if (!seen.has(id) && target.busy + target.ghosts === 0) {
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

  /** Sets who may own slots, and whose slots are usable here. */
  setRouters(routers: readonly string[], synced: ReadonlySet<string>): void {
    const same =
      routers.length === this.routers.length &&
      routers.every((router, i) => router === this.routers[i]);
    this.routers = routers;
    this.synced = synced;
    for (const target of this.targets.values()) {
      if (!same) target.owners = [];
      this.recount(target);
    }
  }

  /** Targets that have a free slot for such a request, least loaded first. */
  freeTargets(
    short: boolean,
    nowMs: number,
    accepts: (target: string) => boolean
  ): string[] {
    const free = [...this.targets.values()]
      .filter(target => this.hasRoom(target, short, nowMs))
      .filter(target => accepts(target.id));
    free.sort((a, b) => this.loadOf(a) - this.loadOf(b));
    return free.map(target => target.id);
  }

  /** How full a target is, as a part of its limit. */
  load(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 1 : this.loadOf(target);
  }

  /** Whether any target has a free slot for such a request. */
  anyFree(short: boolean, nowMs: number): boolean {
    for (const target of this.targets.values()) {
      if (this.hasRoom(target, short, nowMs)) return true;
    }
    return false;
  }

  take(id: string): void {
    const target = this.targets.get(id) ?? this.addTarget(id);
    target.busy += 1;
    if (target.busy >= target.usable) target.limit.onFull();
  }

  giveBack(id: string): void {
    const target = this.targets.get(id);
    if (target !== undefined) target.busy = Math.max(0, target.busy - 1);
  }

  /** Turns a slot in use into one that may still be running. */
  toGhost(id: string): void {
    const target = this.targets.get(id);
    if (target === undefined) return;
    this.giveBack(id);
    target.ghosts += 1;
  }

  dropGhost(id: string): void {
    const target = this.targets.get(id);
    if (target !== undefined) target.ghosts = Math.max(0, target.ghosts - 1);
  }

  onAnswer(id: string, times: TokenTimes | undefined): void {
    const target = this.targets.get(id);
    if (target === undefined) return;
    target.losses = 0;
    if (times === undefined) return;
    if (target.limit.onAnswer(times)) this.recount(target);
  }

  /** Keeps grants away from a target that was just lost. */
  onLost(id: string, nowMs: number): void {
    const target = this.targets.get(id);
    if (target === undefined || nowMs < target.shunnedUntilMs) return;
    const delayMs = Math.min(SHUN_MAX_MS, SHUN_BASE_MS * 2 ** target.losses);
    target.losses += 1;
    target.shunnedUntilMs = nowMs + delayMs;
  }

  /** Slots in use here, ghosts included. */
  inFlight(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 0 : target.busy + target.ghosts;
  }

  /** The target's limit, the slots for short calls included. */
  ceiling(id: string): number {
    const target = this.targets.get(id);
    return target === undefined ? 0 : target.limit.slots + this.allowance;
  }

  /** Every slot of the cell that may be granted here now. */
  usableSlots(): number {
    let total = 0;
    for (const target of this.targets.values()) {
      if (!target.leaving) total += target.usable;
    }
    return total;
  }

  private get allowance(): number {
    return this.settings.shortCallSlots;
  }

  private hasRoom(target: TargetSlots, short: boolean, nowMs: number): boolean {
    if (target.leaving || nowMs < target.shunnedUntilMs) return false;
    const extra = short && this.whole ? this.allowance : 0;
    if (target.busy >= target.usable + extra) return false;
    return target.busy + target.ghosts < target.limit.slots + extra;
  }

  private loadOf(target: TargetSlots): number {
    return (target.busy + target.ghosts) / target.limit.slots;
  }

  private addTarget(id: string): TargetSlots {
    const target: TargetSlots = {
      id,
      leaving: false,
      shunnedUntilMs: 0,
      losses: 0,
      limit: LimitController.create(this.settings.limits),
      owners: [],
      usable: 0,
      busy: 0,
      ghosts: 0,
    };
    this.targets.set(id, target);
    this.recount(target);
    return target;
  }

  private recount(target: TargetSlots): void {
    let usable = 0;
    for (let slot = 0; slot < target.limit.slots; slot++) {
      if (this.synced.has(this.ownerOf(target, slot))) usable += 1;
    }
    target.usable = usable;
  }

  private ownerOf(target: TargetSlots, slot: number): string {
    const known = target.owners[slot];
    if (known !== undefined) return known;
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

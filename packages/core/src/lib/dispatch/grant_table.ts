import type {HeldSlot, QueuedRequest} from './dispatch_types.js';

/** One granted slot. @public */
export interface Grant {
  readonly grantId: string;
  readonly entry: string;
  readonly target: string;
  readonly request: QueuedRequest;
  /** Weighted tokens charged so far. */
  charged: number;
}

/**
 * Wait limit of an adopted request if its slot is returned and it is queued
 * again: `HeldSlot` does not carry the rules of its class.
 */
const ADOPTED_MAX_WAIT_MS = 60_000;

/**
 * The granted slots of one dispatcher, each held by an entry or orphaned until
 * it is released.
 *
 * @public
 */
export class GrantTable {
  /** Grants that entries hold, by grant id. */
  private readonly grants = new Map<string, Grant>();
  /** Grants of entries whose link is lost, by grant id. */
  private readonly orphans = new Map<string, Grant>();
  private sequence = 0;

  private constructor(private readonly incarnation: string) {}

  static create(incarnation: string): GrantTable {
    return new GrantTable(incarnation);
  }

  get heldCount(): number {
    return this.grants.size;
  }

  get orphanCount(): number {
    return this.orphans.size;
  }

  /** Adds a grant of a slot on the target with a new id. */
  issue(request: QueuedRequest, target: string): Grant {
    this.sequence += 1;
    const grant: Grant = {
      grantId: `${this.incarnation}-${this.sequence}`,
      entry: request.entry,
      target,
      request,
      charged: 0,
    };
    this.grants.set(grant.grantId, grant);
    return grant;
  }

  /** Adds a slot that another dispatcher granted. */
  adopt(entry: string, held: HeldSlot, nowMs: number): Grant {
    const request: QueuedRequest = {
      entry,
      announcement: held.announcement,
      priority: 0,
      short: false,
      maxWaitMs: ADOPTED_MAX_WAIT_MS,
      queuedAtMs: nowMs - held.announcement.waitedMs,
    };
    const {grantId, target, charged} = held;
    const grant: Grant = {grantId, entry, target, request, charged};
    this.grants.set(grantId, grant);
    return grant;
  }

  /** The grant, or undefined if this entry does not hold it. */
  get(entry: string, grantId: string): Grant | undefined {
    const grant = this.grants.get(grantId);
    return grant?.entry === entry ? grant : undefined;
  }

  heldBy(entry: string): Grant[] {
    return [...this.grants.values()].filter(grant => grant.entry === entry);
  }

  heldOn(target: string): Grant[] {
    return [...this.grants.values()].filter(grant => grant.target === target);
  }

  orphansOf(entry: string): Grant[] {
    return [...this.orphans.values()].filter(grant => grant.entry === entry);
  }

  /** Removes a held grant. */
  remove(grant: Grant): void {
    this.grants.delete(grant.grantId);
  }

  /** Turns a held grant into an orphaned one when its entry's link is lost. */
  orphan(grant: Grant): void {
    this.grants.delete(grant.grantId);
    this.orphans.set(grant.grantId, grant);
  }

  removeOrphan(grant: Grant): void {
    this.orphans.delete(grant.grantId);
  }

  /** The customer of each held grant; a customer may occur repeatedly. */
  *customers(): Generator<string> {
    for (const grant of this.grants.values()) {
      yield grant.request.announcement.customer;
    }
  }
}

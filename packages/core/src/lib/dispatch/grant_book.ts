/** Every granted slot until it is given back, exactly once each. */
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

const ADOPTED_MAX_WAIT_MS = 60_000;

/** The grants of one dispatcher. @public */
export class GrantBook {
  private readonly grants = new Map<string, Grant>();
  private readonly ghosts = new Map<string, Grant>();
  private sequence = 0;

  private constructor(private readonly incarnation: string) {}

  static create(incarnation: string): GrantBook {
    return new GrantBook(incarnation);
  }

  get heldCount(): number {
    return this.grants.size;
  }

  get ghostCount(): number {
    return this.ghosts.size;
  }

  open(request: QueuedRequest, target: string): Grant {
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

  /** Takes over a slot that another dispatcher had granted. */
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

  /** The grant, when this entry holds it. */
  held(entry: string, grantId: string): Grant | undefined {
    const grant = this.grants.get(grantId);
    return grant?.entry === entry ? grant : undefined;
  }

  heldBy(entry: string): Grant[] {
    return [...this.grants.values()].filter(grant => grant.entry === entry);
  }

  heldOn(target: string): Grant[] {
    return [...this.grants.values()].filter(grant => grant.target === target);
  }

  ghostsOf(entry: string): Grant[] {
    return [...this.ghosts.values()].filter(grant => grant.entry === entry);
  }

  end(grant: Grant): void {
    this.grants.delete(grant.grantId);
  }

  /** Marks a grant whose holder fell silent. */
  toGhost(grant: Grant): void {
    this.grants.delete(grant.grantId);
    this.ghosts.set(grant.grantId, grant);
  }

  dropGhost(grant: Grant): void {
    this.ghosts.delete(grant.grantId);
  }

  /** Customers with a request running. */
  *customers(): Generator<string> {
    for (const grant of this.grants.values()) {
      yield grant.request.announcement.customer;
    }
  }
}

/**
 * Who is a member, from the platform's late instance list and from direct
 * heartbeats. Where the two differ, the careful reading wins: an instance
 * counts as a slot owner until the list has dropped it or it said goodbye,
 * and as a dispatcher only while its heartbeats arrive.
 */

/** What a heartbeat says of its sender. @public */
export interface PeerState {
  readonly ready: boolean;
  readonly draining: boolean;
  /** Revision of the configuration in force there. */
  readonly revision: number;
  /** Targets that the sender has seen leaving. */
  readonly leavingTargets: string[];
}

/** One router as the list shows it. @public */
export interface ListedRouter {
  readonly id: string;
  readonly leaving: boolean;
}

/** One router as this instance sees it. @public */
export interface Member extends PeerState {
  readonly id: string;
  /** Changes with every start of the process. */
  readonly incarnation: string;
  readonly lastSeenAtMs: number;
}

/** @public */
export class MemberView {
  private readonly members = new Map<string, Member>();
  private listed = new Map<string, ListedRouter>();
  /** Routers that said goodbye, with the incarnation that did. */
  private readonly departed = new Map<string, string>();

  private constructor(
    private readonly self: string,
    private readonly silenceTimeoutMs: number
  ) {}

  static create(self: string, silenceMs: number): MemberView {
    return new MemberView(self, silenceMs);
  }

  onHeartbeat(
    id: string,
    incarnation: string,
    state: PeerState,
    nowMs: number
  ): void {
    if (this.departed.get(id) === incarnation) return;
    this.departed.delete(id);
    this.members.set(id, {...state, id, incarnation, lastSeenAtMs: nowMs});
  }

  onGoodbye(id: string): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    this.departed.set(id, member.incarnation);
    this.members.delete(id);
  }

  onLinkLost(id: string): void {
    this.members.delete(id);
  }

  onList(routers: readonly ListedRouter[]): void {
    this.listed = new Map(routers.map(router => [router.id, router]));
    for (const id of this.departed.keys()) {
      if (!this.listed.has(id)) this.departed.delete(id);
    }
  }

  /** Does not hold this process's own pause against the others. */
  onPause(pausedMs: number): void {
    for (const [id, member] of this.members) {
      const lastSeenAtMs = member.lastSeenAtMs + pausedMs;
      this.members.set(id, {...member, lastSeenAtMs});
    }
  }

  /** Forgets and returns the members that have fallen silent. */
  removeSilent(nowMs: number): string[] {
    const silent: string[] = [];
    for (const [id, member] of this.members) {
      if (nowMs - member.lastSeenAtMs <= this.silenceTimeoutMs) continue;
      silent.push(id);
      this.members.delete(id);
    }
    return silent;
  }

  /** Members whose heartbeats arrive, this instance left out. */
  aliveMembers(nowMs: number): Member[] {
    return [...this.members.values()].filter(
      member => nowMs - member.lastSeenAtMs <= this.silenceTimeoutMs
    );
  }

  isAlive(id: string, nowMs: number): boolean {
    const member = this.members.get(id);
    return (
      member !== undefined &&
      nowMs - member.lastSeenAtMs <= this.silenceTimeoutMs
    );
  }

  /**
   * Instances that may be dispatchers, as this one sees it. An instance that
   * is not ready or drains is one only for itself, when there is no other.
   */
  dispatcherCandidates(nowMs: number, selfEligible: boolean): string[] {
    const ids = this.aliveMembers(nowMs)
      .filter(member => member.ready && !member.draining)
      .map(member => member.id);
    if (selfEligible || ids.length === 0) ids.push(this.self);
    return ids.sort();
  }

  /** Routers that may own slots: listed, and not known to have ended. */
  slotOwners(nowMs: number): string[] {
    const owners = new Set([this.self]);
    for (const id of this.listed.keys()) {
      if (!this.departed.has(id)) owners.add(id);
    }
    for (const member of this.aliveMembers(nowMs)) owners.add(member.id);
    return [...owners].sort();
  }

  /** Whether the list and the heartbeats both say that a router is gone. */
  isGone(id: string, nowMs: number): boolean {
    if (id === this.self) return false;
    if (this.departed.has(id)) return true;
    return !this.listed.has(id) && !this.isAlive(id, nowMs);
  }

  /** Targets that any member has seen leaving. */
  leavingTargets(nowMs: number): Set<string> {
    const leaving = new Set<string>();
    for (const member of this.aliveMembers(nowMs)) {
      for (const target of member.leavingTargets) leaving.add(target);
    }
    return leaving;
  }
}

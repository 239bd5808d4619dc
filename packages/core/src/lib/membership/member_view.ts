/** What a heartbeat reports about its sender. @public */
export interface PeerState {
  readonly ready: boolean;
  readonly draining: boolean;
  /** Revision of the configuration that the sender has in force. */
  readonly revision: number;
  /** Targets that the sender knows to be leaving. */
  readonly leavingTargets: string[];
}

/** A router on the platform's instance list. @public */
export interface ListedRouter {
  readonly id: string;
  /** Whether the list marks the router as leaving. */
  readonly leaving: boolean;
}

/** A router whose heartbeats this instance receives. @public */
export interface Member extends PeerState {
  readonly id: string;
  /** Changes with every restart of the process. */
  readonly incarnation: string;
  /** When the latest heartbeat arrived, by this instance's monotonic clock. */
  readonly lastSeenMs: number;
}

/**
 * Membership as this instance sees it, from direct heartbeats and from the
 * platform's instance list, which lags behind. If the two differ, the safer
 * reading is used: a router counts as a slot owner until the list has dropped
 * it or it sent a goodbye, and may be a dispatcher only while its heartbeats
 * arrive.
 *
 * @public
 */
export class MemberView {
  private readonly members = new Map<string, Member>();
  private listed = new Map<string, ListedRouter>();
  /** Routers that sent a goodbye, and the incarnation that sent it. */
  private readonly departed = new Map<string, string>();

  private constructor(
    private readonly self: string,
    private readonly silenceMs: number
  ) {}

  /** A peer is alive if it sent a heartbeat in the last `silenceMs`. */
  static create(self: string, silenceMs: number): MemberView {
    return new MemberView(self, silenceMs);
  }

  /** Ignores late heartbeats of an incarnation that sent a goodbye. */
  onHeartbeat(
    id: string,
    incarnation: string,
    state: PeerState,
    nowMs: number
  ): void {
    if (this.departed.get(id) === incarnation) return;
    this.departed.delete(id);
    this.members.set(id, {...state, id, incarnation, lastSeenMs: nowMs});
  }

  /** Removes a router that announced the end of its process. */
  onGoodbye(id: string): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    this.departed.set(id, member.incarnation);
    this.members.delete(id);
  }

  /** Removes a member; it may still own slots, as its process may go on. */
  onLinkLost(id: string): void {
    this.members.delete(id);
  }

  /** Replaces the instance list. */
  onList(routers: readonly ListedRouter[]): void {
    this.listed = new Map(routers.map(router => [router.id, router]));
    for (const id of this.departed.keys()) {
      if (!this.listed.has(id)) this.departed.delete(id);
    }
  }

  /**
   * Extends last-seen times by a pause of this process. It read no heartbeats
   * meanwhile, so its peers must not count as silent.
   */
  onPause(pausedMs: number): void {
    for (const [id, member] of this.members) {
      const lastSeenMs = member.lastSeenMs + pausedMs;
      this.members.set(id, {...member, lastSeenMs});
    }
  }

  /** Removes and returns the members whose heartbeats have stopped. */
  removeSilent(nowMs: number): string[] {
    const silent: string[] = [];
    for (const [id, member] of this.members) {
      if (nowMs - member.lastSeenMs <= this.silenceMs) continue;
      silent.push(id);
      this.members.delete(id);
    }
    return silent;
  }

  /** Returns the other routers whose heartbeats arrive. */
  aliveMembers(nowMs: number): Member[] {
    return [...this.members.values()].filter(
      member => nowMs - member.lastSeenMs <= this.silenceMs
    );
  }

  isAlive(id: string, nowMs: number): boolean {
    const member = this.members.get(id);
    return member !== undefined && nowMs - member.lastSeenMs <= this.silenceMs;
  }

  /**
   * Returns the routers that may be dispatchers, sorted. Others must be alive,
   * ready and not draining. This instance is among them if it is eligible or if
   * no other router is.
   */
  dispatcherCandidates(nowMs: number, selfEligible: boolean): string[] {
    const ids = this.aliveMembers(nowMs)
      .filter(member => member.ready && !member.draining)
      .map(member => member.id);
    if (selfEligible || ids.length === 0) ids.push(this.self);
    return ids.sort();
  }

  /**
   * Returns the routers that may own slots, sorted: this one, those that send
   * heartbeats, and those on the list that have not sent a goodbye.
   */
  slotOwners(nowMs: number): string[] {
    const owners = new Set([this.self]);
    for (const id of this.listed.keys()) {
      if (!this.departed.has(id)) owners.add(id);
    }
    for (const member of this.aliveMembers(nowMs)) owners.add(member.id);
    return [...owners].sort();
  }

  /** Whether another router sent a goodbye, or is neither listed nor alive. */
  isGone(id: string, nowMs: number): boolean {
    if (id === this.self) return false;
    if (this.departed.has(id)) return true;
    return !this.listed.has(id) && !this.isAlive(id, nowMs);
  }

  /** Returns the targets that any live peer knows to be leaving. */
  leavingTargets(nowMs: number): Set<string> {
    const leaving = new Set<string>();
    for (const member of this.aliveMembers(nowMs)) {
      for (const target of member.leavingTargets) leaving.add(target);
    }
    return leaving;
  }
}

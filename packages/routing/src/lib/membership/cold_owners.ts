import {hash32} from '@applebend/utils';

/**
 * An instance that is new in the list waits until all others have read that it
 * is there: until then those that it replaces as owners still send. They read a
 * change within 2.5 s, or 40 ms for each instance in larger fleets.
 */
const MIN_JOIN_MS = 4000;
const JOIN_MS_PER_INSTANCE = 55;

/**
 * The instances that may send requests to a cold target: the first ones in
 * rendezvous hash order. All instances derive the same owners from the list of
 * instances in the store, whichever of these are alive or in contact. An
 * instance that has not read the list owns nothing.
 *
 * @public
 */
export class ColdOwners {
  private readonly listed = new Set<string>();
  private hasRead = false;
  /** When this instance may own shares, in monotonic milliseconds. */
  private ownsFromMs = Infinity;

  private constructor(
    private readonly self: string,
    private readonly isFleetBootstrap: boolean
  ) {}

  /** @param isFleetBootstrap - whether all instances are new in the list */
  static create(self: string, isFleetBootstrap: boolean): ColdOwners {
    return new ColdOwners(self, isFleetBootstrap);
  }

  /**
   * Records listed instances; those of earlier calls stay listed. Returns
   * whether any is new.
   */
  add(instances: readonly string[], nowMs: number): boolean {
    const isFirst = !this.hasRead;
    const knownCount = this.listed.size;
    this.hasRead = true;
    for (const instance of instances) this.listed.add(instance);
    if (this.ownsFromMs === Infinity && this.listed.has(this.self)) {
      const isJoining = this.isFleetBootstrap || !isFirst;
      this.ownsFromMs = nowMs + (isJoining ? this.joinMs : 0);
    }
    return this.listed.size > knownCount;
  }

  /**
   * Whether this instance is one of the owners of a target.
   *
   * @param count - number of owners
   */
  isOwner(target: string, count: number, nowMs: number): boolean {
    if (!this.isActive(nowMs)) return false;
    return isAmongFirst(this.self, this.listed, target, count);
  }

  /** Whether this instance may own shares now. */
  isActive(nowMs: number): boolean {
    return nowMs >= this.ownsFromMs;
  }

  private get joinMs(): number {
    return Math.max(MIN_JOIN_MS, JOIN_MS_PER_INSTANCE * this.listed.size);
  }
}

/**
 * Whether fewer than `count` of the other instances come before one in the
 * rendezvous hash order of a target.
 */
function isAmongFirst(
  self: string,
  instances: Iterable<string>,
  target: string,
  count: number
): boolean {
  const own = rankOf(self, target);
  let before = 0;
  for (const instance of instances) {
    if (instance === self) continue;
    const rank = rankOf(instance, target);
    const isBefore = rank === own ? instance < self : rank < own;
    if (isBefore) before += 1;
    if (before >= count) return false;
  }
  return true;
}

function rankOf(instance: string, target: string): number {
  return hash32(`${instance}@${target}`);
}

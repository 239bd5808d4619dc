/** An instance as it is listed for its peers. @public */
export interface Member {
  readonly instance: string;
  readonly failureDomain: string;
  /** CPU share in cores; a relay is an instance with a high one. */
  readonly capacity: number;
}

/** Fleets of up to this many instances form a single group. */
const MAX_SINGLE_GROUP = 12;
/** Largest group in a fleet of several groups. */
const MAX_GROUP_SIZE = 8;

/**
 * Divides the instances of a fleet into the groups in which they exchange
 * state. A small fleet is a single group whose members all exchange state. A
 * large fleet has one or more groups in each failure domain: members exchange
 * state within their group, and one of them, the relay, exchanges aggregates
 * with the relays of the other groups. Every instance computes the same layout
 * from the same list.
 *
 * @public
 */
export class FleetLayout<M extends Member> {
  private readonly groupIndex = new Map<string, number>();

  private constructor(
    /** Members of each group, highest capacity first. */
    readonly groups: readonly (readonly M[])[]
  ) {
    for (const [index, group] of groups.entries()) {
      for (const {instance} of group) this.groupIndex.set(instance, index);
    }
  }

  static create<M extends Member>(members: readonly M[]): FleetLayout<M> {
    const sorted = [...members].sort(byCapacity);
    if (sorted.length <= MAX_SINGLE_GROUP) return new FleetLayout([sorted]);
    const groups: M[][] = [];
    for (const domain of domainsOf(sorted)) {
      const inDomain = sorted.filter(m => m.failureDomain === domain);
      groups.push(
        ...distribute(inDomain, Math.ceil(inDomain.length / MAX_GROUP_SIZE))
      );
    }
    return new FleetLayout(groups);
  }

  /** Whether relays exchange aggregates between groups. */
  get hasMultipleGroups(): boolean {
    return this.groups.length > 1;
  }

  /** Returns the index of an instance's group, or undefined if not listed. */
  groupOf(instance: string): number | undefined {
    return this.groupIndex.get(instance);
  }

  /**
   * Returns the group whose relay is the parent of this group's relay: the
   * first group of the same failure domain, or, if this is that group, the first
   * group of the fleet. Returns undefined for the first group of the fleet,
   * whose relay reads the store on behalf of all.
   */
  parentGroupOf(group: number): number | undefined {
    if (group === 0) return undefined;
    const domain = this.groups[group]?.[0]?.failureDomain;
    const first = this.groups.findIndex(([m]) => m?.failureDomain === domain);
    return first === group ? 0 : first;
  }
}

/**
 * Returns the relay of a group: the live member with the highest capacity, or
 * undefined if none is alive. Instances that agree on which members are alive
 * agree on the relay.
 *
 * @param group - members, highest capacity first
 * @public
 */
export function relayOf<M extends Member>(
  group: readonly M[],
  isAlive: (instance: string) => boolean
): M | undefined {
  return group.find(({instance}) => isAlive(instance));
}

function byCapacity(a: Member, b: Member): number {
  if (a.capacity !== b.capacity) return b.capacity - a.capacity;
  return a.instance < b.instance ? -1 : 1;
}

function domainsOf(members: readonly Member[]): string[] {
  return [...new Set(members.map(m => m.failureDomain))].sort();
}

/** Distributes members round-robin, so that groups have similar capacity. */
function distribute<M>(members: readonly M[], count: number): M[][] {
  const groups: M[][] = Array.from({length: count}, () => []);
  for (const [index, member] of members.entries()) {
    groups[index % count].push(member);
  }
  return groups;
}

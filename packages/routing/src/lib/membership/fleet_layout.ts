/**
 * Who tells whom. A small fleet is one group whose members all tell each
 * other. A large one has several groups within each failure domain; members
 * tell their own group, and one of them, the relay, exchanges sums with the
 * relays of the other groups. Every instance derives the same layout from the
 * same list.
 */

/** An instance as all others know it. @public */
export interface Member {
  readonly instance: string;
  readonly failureDomain: string;
  /** Processor share that it has, in cores; the relay is one with much. */
  readonly capacity: number;
}

/** Up to this many instances form one group. */
const MAX_SINGLE_GROUP_SIZE = 12;
const MAX_GROUP_SIZE = 8;

/** @public */
export class FleetLayout<M extends Member> {
  private readonly groupIndex = new Map<string, number>();

  private constructor(
    /** Members of each group, most capable first. */
    readonly groups: readonly (readonly M[])[]
  ) {
    for (const [index, group] of groups.entries()) {
      for (const {instance} of group) this.groupIndex.set(instance, index);
    }
  }

  static create<M extends Member>(members: readonly M[]): FleetLayout<M> {
    const sorted = [...members].sort(byCapacity);
    if (sorted.length <= MAX_SINGLE_GROUP_SIZE) return new FleetLayout([sorted]);
    const groups: M[][] = [];
    for (const domain of domainsOf(sorted)) {
      const inDomain = sorted.filter(m => m.failureDomain === domain);
      groups.push(...distribute(inDomain, Math.ceil(inDomain.length / MAX_GROUP_SIZE)));
    }
    return new FleetLayout(groups);
  }

  /** Whether sums go between groups. */
  get hasMultipleGroups(): boolean {
    return this.groups.length > 1;
  }

  /** Index of an instance's group; undefined where it is not listed. */
  groupOf(instance: string): number | undefined {
    return this.groupIndex.get(instance);
  }

  /**
   * The group whose relay is asked by the relay of this group: the first of
   * its failure domain, and the first of all for that one. Undefined for the
   * first of all, whose relay reads the store for the fleet.
   */
  parentGroupOf(group: number): number | undefined {
    if (group === 0) return undefined;
    const domain = this.groups[group]?.[0]?.failureDomain;
    const first = this.groups.findIndex(([m]) => m?.failureDomain === domain);
    return first === group ? 0 : first;
  }
}

/** The most capable member that is alive; the same for all who agree on that. @public */
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

/** Deals the members out in turn, so that each group has capable ones. */
function distribute<M>(members: readonly M[], count: number): M[][] {
  const groups: M[][] = Array.from({length: count}, () => []);
  for (const [index, member] of members.entries()) {
    groups[index % count].push(member);
  }
  return groups;
}

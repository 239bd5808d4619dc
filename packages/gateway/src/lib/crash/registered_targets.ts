import {incarnationOf} from '@applebend/routing';
import {evictOldest} from '@applebend/utils';

import type {Target} from '@applebend/routing';

/** The targets that a new list shows to have ended, or to be about to. @internal */
export interface UnregisteredTargets {
  /** Another target is registered at their address, so they have ended. */
  readonly replaced: readonly Target[];
  /** They ended, or are about to. */
  readonly removed: readonly Target[];
}

/** Bounds the memory. */
const MAX_ADDRESSES = 5000;

/** Compares each list of registered targets with those before. @internal */
export class RegisteredTargets {
  /** By incarnation. */
  private listed = new Map<string, Target>();
  /** The target that was registered last at each address. */
  private readonly latest = new Map<string, Target>();

  private constructor() {}

  static create(): RegisteredTargets {
    return new RegisteredTargets();
  }

  apply(targets: Iterable<Target>): UnregisteredTargets {
    const listed = new Map<string, Target>();
    for (const target of targets) listed.set(incarnationOf(target), target);
    const replaced: Target[] = [];
    for (const target of listed.values()) {
      const former = this.latest.get(addressOf(target));
      if (former !== undefined && isReplaced(former, target)) {
        replaced.push(former);
      }
      this.setLatest(target, former);
    }
    const removed: Target[] = [];
    for (const [incarnation, target] of this.listed) {
      if (listed.has(incarnation)) continue;
      const latest = this.latest.get(addressOf(target));
      const isLatest = latest && incarnationOf(latest) === incarnation;
      if (isLatest === true) removed.push(target);
    }
    this.listed = listed;
    return {replaced, removed};
  }

  private setLatest(target: Target, former: Target | undefined): void {
    if (former !== undefined && former.registeredAt > target.registeredAt) {
      return;
    }
    this.latest.set(addressOf(target), target);
    if (this.latest.size > MAX_ADDRESSES) evictOldest(this.latest);
  }
}

/** One that ended may stay listed beside the next one for some time. */
function isReplaced(former: Target, target: Target): boolean {
  if (incarnationOf(former) === incarnationOf(target)) return false;
  return target.registeredAt > former.registeredAt;
}

function addressOf({host, port}: Target): string {
  return `${host}:${port}`;
}

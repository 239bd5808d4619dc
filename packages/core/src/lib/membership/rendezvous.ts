import {hash32} from '@applebend/utils';

/**
 * Returns the member with the highest rendezvous hash for the key, or undefined
 * if there are none. Instances with the same members pick the same one without
 * any agreement, and few picks change when a member joins or leaves.
 *
 * @public
 */
export function rendezvousPick(
  key: string,
  members: Iterable<string>
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = hash32(`${key}\u0000${member}`);
    if (weight < bestWeight) continue;
    if (weight === bestWeight && best !== undefined && member > best) continue;
    best = member;
    bestWeight = weight;
  }
  return best;
}

/** Rendezvous hashing: which member takes a role, with no agreement needed. */
import {hash32} from '@applebend/utils';

/** The member with the highest weight for the key. @public */
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

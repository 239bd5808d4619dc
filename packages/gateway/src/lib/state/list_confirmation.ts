import {sleep} from '@applebend/utils';

import type {Clock} from '@applebend/utils';
import type {StateSource} from '../ports.js';

/** @public */
export type ListSource = Pick<
  StateSource,
  'confirm' | 'refreshTargets' | 'targetsReadAgeMs'
>;

/** The confirmation fails after this time. */
const MAX_MS = 1000;
const RETRY_MS = 100;

/**
 * Resolves to whether the list of targets that is held comes from a read that
 * began after the call. A list that was read shortly before may lack a version
 * at which a stream began, and broke, since then.
 *
 * @public
 */
export async function confirmTargetList(
  source: ListSource,
  clock: Clock
): Promise<boolean> {
  const calledAtMs = clock.monotonicMs();
  const elapsedMs = () => clock.monotonicMs() - calledAtMs;
  const isCurrent = () => source.targetsReadAgeMs() <= elapsedMs();
  while (elapsedMs() < MAX_MS) {
    await source.refreshTargets();
    // It may have shared a read that had begun before the call.
    if (!isCurrent()) await source.refreshTargets();
    // The store may be out of reach for this instance alone.
    if (!isCurrent()) await source.confirm();
    if (isCurrent()) return true;
    await sleep(RETRY_MS);
  }
  return false;
}

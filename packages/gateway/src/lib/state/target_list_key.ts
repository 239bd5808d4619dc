import {hash32} from '@applebend/utils';

import type {Target} from '@applebend/routing';

/**
 * Returns the same hash for lists with the same targets in the same state.
 *
 * @param reportedAgain - see `TargetReports`
 * @internal
 */
export function targetListKey(
  targets: readonly Target[],
  reportedAgain: readonly string[]
): number {
  const rows = targets.map(target => {
    const {id, service, host, port, failureDomain} = target;
    const {softwareVersion, slots, state, startedAtMs, coldLeftMs} = target;
    const phase = `${state} ${coldLeftMs > 0}`;
    const place = `${service} ${host}:${port} ${failureDomain}`;
    return `${id} ${place} ${softwareVersion} ${slots} ${phase} ${startedAtMs}`;
  });
  return hash32([...rows, ...reportedAgain].sort().join('\n'));
}

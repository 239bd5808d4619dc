import type {EndedRun, SharedRun} from '@applebend/routing';
import type {Clock} from '@applebend/utils';

/** A run of this instance, as its peers are told of it. @internal */
export function sharedRunOf(
  target: string,
  {fingerprint, writingMs, endedAtMs}: EndedRun,
  clock: Clock
): SharedRun {
  const ageMs = clock.monotonicMs() - endedAtMs;
  return {
    target,
    fingerprint,
    endedAtMs: clock.wallMs() - ageMs,
    hasProgressed: writingMs !== undefined,
  };
}

/** A run of a peer, by the clock of this instance. @internal */
export function endedRunOf(
  {fingerprint, endedAtMs: wallMs, hasProgressed}: SharedRun,
  clock: Clock
): EndedRun {
  const ageMs = Math.max(0, clock.wallMs() - wallMs);
  const endedAtMs = clock.monotonicMs() - ageMs;
  return {
    fingerprint,
    blocks: [],
    writingMs: hasProgressed ? 0 : undefined,
    sentAtMs: endedAtMs,
    endedAtMs,
    isBroken: false,
    isOfPeer: true,
  };
}

import {sessionOf} from '@applebend/routing';
import {hash32} from '@applebend/utils';

import type {Candidate, Prompt} from '@applebend/routing';
import type {TargetRecord} from '../state/target_record.js';

/**
 * A target that is no engine may have this many requests for each slot; those
 * above one wait in its queue.
 */
const PLAIN_REQUESTS_PER_SLOT = 2;
/**
 * Requests without a session get a random rank below this. It spreads them over
 * targets that are otherwise nearly equal.
 */
const RANDOM_RANK_SCALE = 0.02;
const HASH_RANGE = 0x100000000;

/** What a selection of candidates depends on. @public */
export interface CandidateNeeds {
  readonly prompt: Prompt | undefined;
  readonly failureDomain: string;
  /** The only software version that may run it; undefined if any may. */
  readonly softwareVersion: string | undefined;
  /** Ids of targets that the request has been sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether ejected targets are used if there is no other. */
  readonly mayTryEjected: boolean;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Draws a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * The targets that a request may be sent to now. A target that asked for a pause
 * gets none before it is over, one that named a rate no more than that, and a
 * cold one no more than this instance's share.
 * Ejected targets, and those that paused a peer, are left out unless there is no
 * other: trying one is better than trying none.
 *
 * @public
 */
export function candidatesFor(
  records: readonly TargetRecord[],
  needs: CandidateNeeds
): Candidate[] {
  const {nowMs, mayTryEjected} = needs;
  const allowed = records.filter(record => isAllowed(record, needs));
  const healthy = allowed.filter(({health}) => health.isUsable(nowMs));
  const idle = healthy.filter(record => nowMs >= record.peerPauseEndsAtMs);
  const lists = mayTryEjected ? [idle, healthy, allowed] : [idle, healthy];
  const chosen = lists.find(list => list.length > 0) ?? [];
  return chosen.map(record => candidateOf(record, needs));
}

function isAllowed(
  {target, pause, rateLimit, coldStart}: TargetRecord,
  {tried, nowMs, softwareVersion}: CandidateNeeds
): boolean {
  if (tried.has(target.id) || !pause.isUsable(nowMs)) return false;
  if (!rateLimit.isUsable(nowMs) || !coldStart.isUsable(nowMs)) return false;
  if (softwareVersion === undefined) return true;
  return target.softwareVersion === softwareVersion;
}

/**
 * When the first of the targets that are paused, cold, or have got all that they
 * take for now, may get requests again, in monotonic milliseconds; undefined if there
 * is none of these.
 *
 * @public
 */
export function earliestAvailableMs(
  records: readonly TargetRecord[],
  nowMs: number
): number | undefined {
  const times = records
    .map(({pause, rateLimit, coldStart}) =>
      Math.max(
        pause.endsAtMs,
        rateLimit.availableAtMs(nowMs),
        coldStart.retryAtMs(nowMs)
      )
    )
    .filter(atMs => atMs > nowMs);
  return times.length === 0 ? undefined : Math.min(...times);
}

function candidateOf(record: TargetRecord, needs: CandidateNeeds): Candidate {
  const {target, firstEventModel, fleetLoad, memoryTokens} = record;
  const {prompt, failureDomain} = needs;
  const cached =
    prompt === undefined
      ? 0
      : record.prefixCache.cachedTokens(prompt.prefixBlocks);
  const uncachedTokens =
    prompt === undefined ? 0 : Math.max(0, prompt.inputTokens - cached);
  const isEngine = memoryTokens > 0;
  return {
    id: target.id,
    load: fleetLoad,
    slots: isEngine ? target.slots : target.slots * PLAIN_REQUESTS_PER_SLOT,
    memoryTokens,
    uncachedTokens,
    waitMs: firstEventModel.prefillMs(fleetLoad.prefillTokens),
    prefillMs: firstEventModel.prefillMs(uncachedTokens),
    sameFailureDomain: target.failureDomain === failureDomain,
    failureRate: record.health.failureRate,
    rendezvousRank: rendezvousRank(target.id, needs),
  };
}

/**
 * Rendezvous hash of the prompt's session and a target, 0 to 1; random if the
 * request has no session.
 */
function rendezvousRank(
  target: string,
  {prompt, random}: CandidateNeeds
): number {
  const key = prompt && sessionOf(prompt);
  if (key === undefined) return RANDOM_RANK_SCALE * random();
  return hash32(`${key}@${target}`) / HASH_RANGE;
}

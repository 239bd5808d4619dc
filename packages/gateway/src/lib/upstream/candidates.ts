/** Turns what is held about a service's targets into candidates to choose from. */
import {sessionOf} from '@applebend/routing';
import {hash32} from '@applebend/utils';

import type {Candidate, Prompt} from '@applebend/routing';
import type {TargetRecord} from '../state/target_record.js';

/** Requests that a plain service may have queued, as a part of its slots. */
const PLAIN_QUEUE_FACTOR = 2;
const RANDOM_RANK_SCALE = 0.02;
const HASH_RANGE = 0x100000000;

/** What the request needs of a target. @public */
export interface CandidateNeeds {
  readonly prompt: Prompt | undefined;
  readonly failureDomain: string;
  /** Targets that this request was sent to already. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
  /** From 0 up to 1, for requests without a prompt. */
  readonly random: () => number;
}

/**
 * The targets that may take the request now. Where all of them are to be left
 * alone, they are better tried than nothing.
 *
 * @public
 */
export function candidatesFor(
  records: readonly TargetRecord[],
  needs: CandidateNeeds
): Candidate[] {
  const unused = records.filter(({target}) => !needs.tried.has(target.id));
  const usable = unused.filter(({health}) => health.isUsable(needs.nowMs));
  const chosen = usable.length > 0 ? usable : unused;
  return chosen.map(record => candidateOf(record, needs));
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
    slots: isEngine ? target.slots : target.slots * PLAIN_QUEUE_FACTOR,
    memoryTokens,
    uncachedTokens,
    waitMs: firstEventModel.prefillMs(fleetLoad.prefillTokens),
    prefillMs: firstEventModel.prefillMs(uncachedTokens),
    sameFailureDomain: target.failureDomain === failureDomain,
    failureRate: record.health.failureRate,
    rendezvousRank: rendezvousRank(target.id, needs),
  };
}

/** Rendezvous hashing of the session over the targets. */
function rendezvousRank(
  target: string,
  {prompt, random}: CandidateNeeds
): number {
  const key = prompt && sessionOf(prompt);
  if (key === undefined) return RANDOM_RANK_SCALE * random();
  return hash32(`${key}@${target}`) / HASH_RANGE;
}

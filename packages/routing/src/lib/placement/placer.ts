/**
 * Chooses the target of a request. Answers the load of a heavy day: many
 * sessions whose shared prompt parts fit the engines' memory only together,
 * and more prefill asked than the engines can do.
 */
import type {TargetLoad} from './target_load.js';

/** A target that may take the request, as the chooser sees it. @public */
export interface Candidate {
  readonly id: string;
  readonly load: TargetLoad;
  readonly slots: number;
  /** Tokens that its memory holds; 0 where it has none. */
  readonly memoryTokens: number;
  /** Prompt tokens that it would have to read. */
  readonly uncachedTokens: number;
  /** Time that its waiting prefill takes, in milliseconds. */
  readonly waitMs: number;
  /** Time to read the uncached tokens, in milliseconds. */
  readonly prefillMs: number;
  readonly sameFailureDomain: boolean;
  /** Part of its requests that failed of late, 0 to 1. */
  readonly failureRate: number;
  /** Its rank for this prompt, from 0 up to 1; the same at all instances. */
  readonly rendezvousRank: number;
}

/** The chosen target. @public */
export interface Placement {
  readonly candidate: Candidate;
  /** Whether a slot and memory are free there. */
  readonly hasRoom: boolean;
}

/** A cached part saves the work here and keeps memory free elsewhere. */
const PREFILL_WEIGHT = 5;
/** Cost of a full batch, since each token of all its requests slows down. */
const FULL_BATCH_COST_MS = 120;
const NO_ROOM_COST_MS = 2000;
const OTHER_DOMAIN_COST_MS = 2;
/**
 * A prompt that no target is known to keep goes where its rank is low, so
 * that instances that know nothing find what others placed before.
 */
const RENDEZVOUS_RANK_COST_MS = 100;
const FAILURE_RATE_COST_MS = 1500;
/** Part of an engine's memory that running requests may take. */
const MAX_RUNNING_MEMORY_FRACTION = 0.8;

/**
 * The cheapest candidate among those with room and a wait up to a limit, or
 * among all where there is none.
 *
 * @public
 */
export function place(
  candidates: readonly Candidate[],
  kvTokens: number,
  maxWaitMs = Infinity
): Placement | undefined {
  const all = candidates.map(candidate => ({
    candidate,
    hasRoom: hasRoomFor(candidate, kvTokens),
  }));
  const isOnTime = ({candidate, hasRoom}: Placement) =>
    hasRoom && candidate.waitMs <= maxWaitMs;
  return cheapest(all.filter(isOnTime)) ?? cheapest(all);
}

function cheapest(placements: readonly Placement[]): Placement | undefined {
  let best: Placement | undefined;
  let bestCost = Infinity;
  for (const placement of placements) {
    const cost = costOf(placement.candidate, placement.hasRoom);
    if (cost >= bestCost) continue;
    best = placement;
    bestCost = cost;
  }
  return best;
}

function hasRoomFor({load, slots, memoryTokens}: Candidate, kvTokens: number) {
  if (load.running >= slots) return false;
  if (memoryTokens === 0 || load.running === 0) return true;
  return load.kvTokens + kvTokens <= memoryTokens * MAX_RUNNING_MEMORY_FRACTION;
}

function costOf(candidate: Candidate, hasRoom: boolean): number {
  const {load, slots, waitMs, prefillMs, failureRate} = candidate;
  const batchMs = FULL_BATCH_COST_MS * (load.running / Math.max(1, slots));
  const domainMs = candidate.sameFailureDomain ? 0 : OTHER_DOMAIN_COST_MS;
  const roomMs = hasRoom ? 0 : NO_ROOM_COST_MS * (load.running / slots);
  const weightedPrefillMs = PREFILL_WEIGHT * prefillMs;
  const rankMs = RENDEZVOUS_RANK_COST_MS * candidate.rendezvousRank;
  const failureMs = FAILURE_RATE_COST_MS * failureRate;
  return waitMs + weightedPrefillMs + batchMs + domainMs + roomMs + rankMs + failureMs;
}

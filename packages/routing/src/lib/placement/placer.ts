import type {TargetLoad} from './target_load.js';

/** A target that a request may be sent to. @public */
export interface Candidate {
  readonly id: string;
  /** Requests at the target, of this instance and of its peers. */
  readonly load: TargetLoad;
  /** Number of requests that it may be sent at once. */
  readonly slots: number;
  /** Tokens that fit its memory; 0 if it is not a model engine. */
  readonly memoryTokens: number;
  /** Prompt tokens that are not in its prefix cache. */
  readonly uncachedTokens: number;
  /** Predicted time of the prefill queued there, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time to prefill the uncached tokens, in milliseconds. */
  readonly prefillMs: number;
  /** Whether it is in the failure domain of this instance. */
  readonly sameFailureDomain: boolean;
  /** Moving average of the fraction of requests that failed, 0 to 1. */
  readonly failureRate: number;
  /**
   * Rendezvous hash of the prompt's session and the target, from 0 (inclusive,
   * preferred) to 1. All instances compute the same value. A request without a
   * session gets a random rank.
   */
  readonly rendezvousRank: number;
}

/** The chosen target. @public */
export interface Placement {
  readonly candidate: Candidate;
  /** Whether the target has a free slot and enough free memory. */
  readonly hasRoom: boolean;
}

/**
 * Weight of the time to prefill uncached tokens. A cached prefix saves prefill,
 * which is the scarce resource under overload. It also leaves memory free on
 * other engines: the shared blocks of all sessions fit only if each is cached
 * on few engines.
 */
const PREFILL_WEIGHT = 5;
/**
 * Cost of a full batch, in which every request generates tokens more slowly.
 */
const FULL_BATCH_COST_MS = 120;
/**
 * Cost of a target without room; it grows with the running requests per slot.
 */
const NO_ROOM_COST_MS = 2000;
/** Decides between engines of nearly equal cost. */
const OTHER_DOMAIN_COST_MS = 2;
/**
 * The same between targets that are no engines, which have no cached prefixes to
 * weigh: a little more than one running request.
 */
const PLAIN_OTHER_DOMAIN_COST_MS = 12;
/**
 * Cost of the highest rendezvous rank. It sends a prompt that no target is
 * known to have cached to its preferred target, where instances that do not
 * know the caches send it too.
 */
const RENDEZVOUS_RANK_COST_MS = 100;
/** Cost of a target at which all requests fail. */
const FAILURE_RATE_COST_MS = 1500;
/** Fraction of an engine's memory that running requests may occupy. */
const MAX_RUNNING_MEMORY_FRACTION = 0.8;

/**
 * Chooses the cheapest candidate among those with room and a short enough wait,
 * or among all if there are none of these. Costs are in milliseconds.
 *
 * @param kvTokens - memory that the request occupies, in tokens
 * @param maxWaitMsAt - longest wait at a candidate that counts as short enough
 * @returns the chosen target, or undefined if there are no candidates
 * @internal
 */
export function place(
  candidates: readonly Candidate[],
  kvTokens: number,
  maxWaitMsAt: (candidate: Candidate) => number = () => Infinity
): Placement | undefined {
  const all = candidates.map(candidate => ({
    candidate,
    hasRoom: hasRoomFor(candidate, kvTokens),
  }));
  const isOnTime = ({candidate, hasRoom}: Placement) =>
    hasRoom && candidate.waitMs <= maxWaitMsAt(candidate);
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
  const {load, waitMs, prefillMs, failureRate, memoryTokens} = candidate;
  const runningPerSlot = load.running / Math.max(1, candidate.slots);
  const batchMs = FULL_BATCH_COST_MS * runningPerSlot;
  const otherDomainMs =
    memoryTokens === 0 ? PLAIN_OTHER_DOMAIN_COST_MS : OTHER_DOMAIN_COST_MS;
  const domainMs = candidate.sameFailureDomain ? 0 : otherDomainMs;
  const roomMs = hasRoom ? 0 : NO_ROOM_COST_MS * runningPerSlot;
  const uncachedMs = PREFILL_WEIGHT * prefillMs;
  const rankMs = RENDEZVOUS_RANK_COST_MS * candidate.rendezvousRank;
  const failureMs = FAILURE_RATE_COST_MS * failureRate;
  return waitMs + uncachedMs + batchMs + domainMs + roomMs + rankMs + failureMs;
}

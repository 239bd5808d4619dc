import {decideAdmission, maxWaitMs, mayWaitLong} from './admission.js';
import {place} from '../placement/placer.js';
import {maxResumeWaitMs} from './resumed_stream.js';

import type {
  AdmissionDecision,
  AdmissionInput,
  CustomerLevels,
  ResumeInput,
} from './admission.js';
import type {ShareStatus} from './customer_shares.js';
import type {Candidate, Placement} from '../placement/placer.js';
import type {ResumeNeeds} from './resumed_stream.js';

/**
 * What a decision needs to know of a request. Times in milliseconds.
 *
 * @public
 */
export interface RequestNeeds {
  /** Memory that the request occupies on a model engine, in tokens. */
  readonly kvTokens: number;
  /** Time within which the first event or the response is on time. */
  readonly latencyTargetMs: number;
  /** Time left until the deadline. */
  readonly leftMs: number;
  /** Usage of its customer beside the share levels. */
  readonly shareStatus: ShareStatus;
  /** Undefined for a request that does not resume a stream. */
  readonly resume: ResumeNeeds | undefined;
  /** Length of the share window. */
  readonly windowMs: number;
  /** Random number from 0 (inclusive) to 1, spreads the retries of callers. */
  readonly spread: number;
}

/** The chosen target of a request and whether it is admitted there. @public */
export interface RequestDecision {
  readonly placement: Placement;
  /** The inputs of the admission decision, for logs. */
  readonly input: AdmissionInput;
  readonly admission: AdmissionDecision;
}

/**
 * Chooses the best target for a request.
 *
 * @returns the placement, or undefined if there are no candidates
 * @public
 */
export function choosePlacement(
  candidates: readonly Candidate[],
  needs: RequestNeeds
): Placement | undefined {
  const {kvTokens, latencyTargetMs, resume, shareStatus} = needs;
  const usage = usageOf(shareStatus);
  if (resume !== undefined && mayWaitLong(resume, usage)) {
    return place(candidates, kvTokens, candidate =>
      maxResumeWaitMs(resume, needs.leftMs, candidate)
    );
  }
  // Requests of a customer over its share may wait long for a target that has
  // their prefix cached.
  const isOverShare = usage.given > usage.level;
  const longestMs = isOverShare ? Infinity : maxWaitMs(latencyTargetMs);
  return place(candidates, kvTokens, () => longestMs);
}

/**
 * Chooses a target for a request, then admits or refuses the request there.
 *
 * @returns the decision, or undefined if there are no candidates
 * @public
 */
export function placeAndAdmit(
  candidates: readonly Candidate[],
  needs: RequestNeeds
): RequestDecision | undefined {
  const placement = choosePlacement(candidates, needs);
  if (placement === undefined) return undefined;
  const input: AdmissionInput = {
    waitMs: placement.candidate.waitMs,
    latencyTargetMs: needs.latencyTargetMs,
    leftMs: needs.leftMs,
    hasRoom: placement.hasRoom,
    occupancy: occupancyOf(candidates),
    ...usageOf(needs.shareStatus),
    resume: resumeInputOf(needs, placement),
    windowMs: needs.windowMs,
    spread: needs.spread,
  };
  return {placement, input, admission: decideAdmission(input)};
}

function usageOf({
  admitted,
  recentAdmitted,
  levels,
}: ShareStatus): CustomerLevels {
  return {
    given: admitted,
    level: levels.owed,
    recentGiven: recentAdmitted,
    evenLevel: levels.even,
  };
}

function resumeInputOf(
  {resume, leftMs}: RequestNeeds,
  {candidate}: Placement
): ResumeInput | undefined {
  if (resume === undefined) return undefined;
  const maxWaitMs = maxResumeWaitMs(resume, leftMs, candidate);
  return {maxWaitMs, isKnown: resume.isKnown};
}

/** Returns the fraction of all candidates' slots that are in use. */
function occupancyOf(candidates: readonly Candidate[]): number {
  let running = 0;
  let slots = 0;
  for (const candidate of candidates) {
    running += candidate.load.running;
    slots += candidate.slots;
  }
  return slots === 0 ? 1 : running / slots;
}

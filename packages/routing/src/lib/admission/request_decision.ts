/**
 * Decides about one call: the target where it would run, and whether it is
 * taken there now.
 */
import {decideAdmission, maxWaitMs} from './admission.js';
import {place} from '../placement/placer.js';

import type {AdmissionDecision, AdmissionInput} from './admission.js';
import type {ShareStatus} from './customer_shares.js';
import type {Candidate, Placement} from '../placement/placer.js';

/** A call that waits for a decision. Times in milliseconds. @public */
export interface RequestNeeds {
  /** Memory that it takes at a model engine, in tokens. */
  readonly kvTokens: number;
  readonly latencyTargetMs: number;
  readonly leftMs: number;
  /** How its customer stands in the window of shares. */
  readonly shareStatus: ShareStatus;
  readonly windowMs: number;
  /** From 0 up to 1, spreads the return of refused clients. */
  readonly spread: number;
}

/** What was decided, and on what it rests. @public */
export interface RequestDecision {
  readonly placement: Placement;
  readonly input: AdmissionInput;
  readonly admission: AdmissionDecision;
}

/** The best target for a call; undefined where there is none. @public */
export function choosePlacement(
  candidates: readonly Candidate[],
  {kvTokens, latencyTargetMs, shareStatus}: RequestNeeds
): Placement | undefined {
  // A customer over its share waits for the targets that keep its prompts.
  const isOverShare = shareStatus.admitted > shareStatus.levels.owed;
  const maxMs = isOverShare ? Infinity : maxWaitMs(latencyTargetMs);
  return place(candidates, kvTokens, maxMs);
}

/** Places a call and admits or refuses it. @public */
export function placeAndAdmit(
  candidates: readonly Candidate[],
  needs: RequestNeeds
): RequestDecision | undefined {
  const placement = choosePlacement(candidates, needs);
  if (placement === undefined) return undefined;
  const {admitted, recentAdmitted, levels} = needs.shareStatus;
  const input: AdmissionInput = {
    waitMs: placement.candidate.waitMs,
    latencyTargetMs: needs.latencyTargetMs,
    leftMs: needs.leftMs,
    hasRoom: placement.hasRoom,
    occupancy: occupancyOf(candidates),
    given: admitted,
    level: levels.owed,
    recentGiven: recentAdmitted,
    evenLevel: levels.even,
    windowMs: needs.windowMs,
    spread: needs.spread,
  };
  return {placement, input, admission: decideAdmission(input)};
}

/** Part of the places of all candidates that is taken. */
function occupancyOf(candidates: readonly Candidate[]): number {
  let running = 0;
  let slots = 0;
  for (const candidate of candidates) {
    running += candidate.load.running;
    slots += candidate.slots;
  }
  return slots === 0 ? 1 : running / slots;
}

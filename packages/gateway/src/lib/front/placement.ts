import {
  placeAndAdmit,
  UNLIMITED_SHARE,
  choosePlacement,
  weightedTokensOf,
} from '@applebend/routing';
import {candidatesFor} from '../upstream/candidates.js';

import type {
  RequestDecision,
  RequestNeeds,
  Candidate,
  Placement,
  ShareStatus,
} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

/** What the decisions about one request depend on. @public */
export interface PlacementInput {
  readonly context: RequestContext;
  readonly state: FleetState;
  /** Ids of targets that the request has been sent to. */
  readonly tried: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Draws a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * KV memory that the request occupies at an engine, in tokens; 0 without a
 * prompt.
 *
 * @public
 */
export function kvTokensOf({prompt}: RequestContext): number {
  if (prompt === undefined) return 0;
  return prompt.inputTokens + prompt.outputTokens;
}

/** Cost of the request in weighted tokens; 0 without a prompt. @public */
export function weightedCostOf({prompt}: RequestContext): number {
  return prompt === undefined ? 0 : weightedTokensOf(prompt);
}

/** The best target for the request, or undefined if there is none. @public */
export function findPlacement(input: PlacementInput): Placement | undefined {
  return choosePlacement(candidatesOf(input), needsOf(input));
}

/**
 * Places the request and decides whether to admit it. Returns undefined if there
 * is no target.
 *
 * @public
 */
export function decideRequest(
  input: PlacementInput
): RequestDecision | undefined {
  return placeAndAdmit(candidatesOf(input), needsOf(input));
}

function candidatesOf(input: PlacementInput): Candidate[] {
  const {context, state, tried, nowMs, random} = input;
  return candidatesFor(state.targets.readyTargets(context.service), {
    prompt: context.prompt,
    failureDomain: state.settings.failureDomain,
    tried,
    nowMs,
    random,
  });
}

function needsOf(input: PlacementInput): RequestNeeds {
  const {context, state, nowMs, random} = input;
  return {
    kvTokens: kvTokensOf(context),
    latencyTargetMs: context.route.latencyTargetMs,
    leftMs: context.deadlineAtMs - nowMs,
    shareStatus: shareStatusOf(input),
    windowMs: state.settings.shareWindowMs,
    spread: random(),
  };
}

/** A request without a prompt counts toward no customer's usage. */
function shareStatusOf({context, state, nowMs}: PlacementInput): ShareStatus {
  if (context.prompt === undefined) return UNLIMITED_SHARE;
  const {tokensPerS} = context.config.limits;
  return state.customerShares.statusOf(
    context.customer ?? '',
    tokensPerS,
    nowMs
  );
}

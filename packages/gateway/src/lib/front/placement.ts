/** Feeds what the fleet knows into the decisions about one request. */
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

/** @public */
export interface PlacementInput {
  readonly context: RequestContext;
  readonly state: FleetState;
  /** Targets that the request was sent to already. */
  readonly tried: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** From 0 up to 1. */
  readonly random: () => number;
}

/** Memory that the request takes at a model engine, in tokens. @public */
export function kvTokensOf({prompt}: RequestContext): number {
  if (prompt === undefined) return 0;
  return prompt.inputTokens + prompt.outputTokens;
}

/** Service that the request uses, in weighted tokens. @public */
export function costOf({prompt}: RequestContext): number {
  return prompt === undefined ? 0 : weightedTokensOf(prompt);
}

/** The best target for the request, if any may take it. @public */
export function findPlacement(input: PlacementInput): Placement | undefined {
  return choosePlacement(candidatesOf(input), needsOf(input));
}

/** Where the request would go and whether it is taken. @public */
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

function shareStatusOf({context, state, nowMs}: PlacementInput): ShareStatus {
  if (context.prompt === undefined) return UNLIMITED_SHARE;
  const {tokensPerS} = context.config.limits;
  return state.customerShares.statusOf(
    context.customer ?? '',
    tokensPerS,
    nowMs
  );
}

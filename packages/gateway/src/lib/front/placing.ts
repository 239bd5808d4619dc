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
export interface PlacingInput {
  readonly context: RequestContext;
  readonly state: FleetState;
  /** Targets that the request was sent to already. */
  readonly used: ReadonlySet<string>;
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
export function findPlacement(input: PlacingInput): Placement | undefined {
  return choosePlacement(candidatesOf(input), needsOf(input));
}

/** Where the request would go and whether it is taken. @public */
export function decideRequest(
  input: PlacingInput
): RequestDecision | undefined {
  return placeAndAdmit(candidatesOf(input), needsOf(input));
}

function candidatesOf(input: PlacingInput): Candidate[] {
  const {context, state, used, nowMs, random} = input;
  return candidatesFor(state.targets.readyOf(context.service), {
    prompt: context.prompt,
    failureDomain: state.settings.failureDomain,
    used,
    nowMs,
    random,
  });
}

function needsOf(input: PlacingInput): RequestNeeds {
  const {context, state, nowMs, random} = input;
  return {
    kvTokens: kvTokensOf(context),
    latencyTargetMs: context.route.latencyTargetMs,
    leftMs: context.endsMs - nowMs,
    shareStatus: standingOf(input),
    windowMs: state.settings.shareWindowMs,
    spread: random(),
  };
}

function standingOf({context, state, nowMs}: PlacingInput): ShareStatus {
  if (context.prompt === undefined) return UNLIMITED_SHARE;
  const {tokensPerS} = context.config.limits;
  return state.customerShares.statusOf(
    context.customer ?? '',
    tokensPerS,
    nowMs
  );
}

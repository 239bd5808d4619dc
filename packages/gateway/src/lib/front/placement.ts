import {
  ENGINE_POOL,
  placeAndAdmit,
  choosePlacement,
  callerGapLimitMs,
  weightedTokensOf,
} from '@applebend/routing';
import {candidatesFor} from '../upstream/candidates.js';

import type {
  RequestDecision,
  RequestNeeds,
  ResumeNeeds,
  Candidate,
  Placement,
  ShareStatus,
} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {AttemptTracker} from './attempt_tracker.js';
import type {RequestContext} from './request_context.js';
import type {VersionPin} from './version_pin.js';

/** What the decisions about one request depend on. @public */
export interface PlacementInput {
  readonly context: RequestContext;
  readonly state: FleetState;
  /** The software version that it is bound to, and why. */
  readonly versionPin: Pick<VersionPin, 'version' | 'resumed'>;
  /** The attempts of the request so far. */
  readonly attempts: Pick<AttemptTracker, 'tried' | 'mayTryEjected'>;
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

/**
 * Cost of the request in the unit of its usage pool: weighted tokens, or one
 * request of a plain service.
 *
 * @public
 */
export function weightedCostOf({prompt}: RequestContext): number {
  return prompt === undefined ? 1 : weightedTokensOf(prompt);
}

/** The usage pool in which the request counts. @public */
export function usagePoolOf({prompt, service}: RequestContext): string {
  return prompt === undefined ? service : ENGINE_POOL;
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
  const {context, state, versionPin, attempts, nowMs, random} = input;
  return candidatesFor(state.targets.readyTargets(context.service), {
    softwareVersion: versionPin.version,
    prompt: context.prompt,
    failureDomain: state.settings.failureDomain,
    tried: attempts.tried,
    mayTryEjected: attempts.mayTryEjected,
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
    resume: resumeNeedsOf(input),
    windowMs: state.settings.shareWindowMs,
    spread: random(),
  };
}

function resumeNeedsOf({
  context: {route},
  versionPin: {resumed},
}: PlacementInput): ResumeNeeds | undefined {
  if (resumed === undefined) return undefined;
  const {latencyTargetMs, eventGapTargetMs} = route;
  const gapLimitMs = callerGapLimitMs(latencyTargetMs, eventGapTargetMs);
  return {gapLimitMs, isKnown: resumed === 'exact'};
}

/** Only the rate of the model engines is configured. */
function shareStatusOf({context, state, nowMs}: PlacementInput): ShareStatus {
  const pool = usagePoolOf(context);
  const {tokensPerS} = context.config.limits;
  const ratePerS = pool === ENGINE_POOL ? tokensPerS : Infinity;
  const shares = state.sharesOf(pool);
  return shares.statusOf(context.customer ?? '', ratePerS, nowMs);
}

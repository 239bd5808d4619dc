/** Feeds what the fleet knows into the decisions about one request. */
import {maxWaitMs, place, serviceCost} from '@applebend/routing';
import {candidatesFor} from '../upstream/candidates.js';

import type {AdmissionInput, Placement} from '@applebend/routing';
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
  return prompt === undefined ? 0 : serviceCost(prompt);
}

/** The best target for the request, if any may take it. @public */
export function findPlacement(input: PlacingInput): Placement | undefined {
  const {context, state, used, nowMs, random} = input;
  const candidates = candidatesFor(state.targets.readyOf(context.service), {
    prompt: context.prompt,
    failureDomain: state.settings.failureDomain,
    used,
    nowMs,
    random,
  });
  // A customer over its share waits for the targets that keep its prompts.
  const longestMs = isOverShare(input)
    ? Infinity
    : maxWaitMs(context.route.latencyTargetMs);
  return place(candidates, kvTokensOf(context), longestMs);
}

function isOverShare({context, state, nowMs}: PlacingInput): boolean {
  if (context.prompt === undefined) return false;
  const {given} = state.shares.useOf(context.customer ?? '', nowMs);
  return given > state.shareLevels(nowMs, context.config).owed;
}

/** What decides whether the request is taken at that target. @public */
export function admissionInput(
  input: PlacingInput,
  {candidate, hasRoom}: Placement
): AdmissionInput {
  const {context, state, nowMs, random} = input;
  const {shares, settings, targets} = state;
  const isModelCall = context.prompt !== undefined;
  const levels = state.shareLevels(nowMs, context.config);
  return {
    waitMs: candidate.waitMs,
    latencyTargetMs: context.route.latencyTargetMs,
    leftMs: context.endsMs - nowMs,
    hasRoom,
    occupancy: targets.occupancyOf(context.service),
    given: shares.useOf(context.customer ?? '', nowMs).given,
    level: isModelCall ? levels.owed : Infinity,
    evenLevel: isModelCall ? levels.even : Infinity,
    windowMs: settings.shareWindowMs,
    spread: random(),
  };
}

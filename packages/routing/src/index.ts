/** The gateway's decisions, pure: no network, no sockets, time passed in. */
export {REFUSAL_REASON} from './lib/admission/admission.js';
export type {
  AdmissionDecision,
  AdmissionInput,
  RefusalReason,
} from './lib/admission/admission.js';
export {decideCall, placeCall} from './lib/admission/call_decision.js';
export type {CallDecision, CallNeeds} from './lib/admission/call_decision.js';
export {OverloadGuard} from './lib/admission/overload_guard.js';
export type {LoopSample} from './lib/admission/overload_guard.js';
export {
  CustomerShares,
  NO_SHARE_LIMIT,
} from './lib/admission/customer_shares.js';
export type {
  ShareLevels,
  ShareStanding,
} from './lib/admission/customer_shares.js';
export type {CustomerUse} from './lib/admission/customer_uses.js';
export {WindowSum} from './lib/admission/window_sum.js';
export {RUN_LIMIT} from './lib/config/fleet_config.js';
export type {
  EngineSpec,
  FleetConfig,
  Limits,
  Route,
  RunLimit,
  Service,
  WeightedService,
} from './lib/config/fleet_config.js';
export {RouteTable} from './lib/config/route_table.js';
export {TARGET_STATE} from './lib/config/target.js';
export type {Target, TargetState} from './lib/config/target.js';
export {fairnessWindows} from './lib/fairness/fairness_windows.js';
export type {
  FairnessWindow,
  SecondUse,
  UseTimeline,
} from './lib/fairness/fairness_windows.js';
export {UseRecorder} from './lib/fairness/use_recorder.js';
export {Freshness} from './lib/freshness/freshness.js';
export type {ReadStamp} from './lib/freshness/freshness.js';
export {ListFreshness} from './lib/freshness/list_freshness.js';
export type {ListFreshnessOptions} from './lib/freshness/list_freshness.js';
export {TargetHealth} from './lib/health/target_health.js';
export {FleetLayout, relayOf} from './lib/membership/fleet_layout.js';
export type {Member} from './lib/membership/fleet_layout.js';
export {FirstEventModel} from './lib/placement/first_event_model.js';
export type {Candidate, Placement} from './lib/placement/placer.js';
export {PrefixCache} from './lib/placement/prefix_cache.js';
export {serviceCost, sessionOf} from './lib/placement/prompt.js';
export type {Prompt, PromptPart} from './lib/placement/prompt.js';
export {addLoad, NO_LOAD, OwnLoad} from './lib/placement/target_load.js';
export type {LoadFigures, RunningRequest} from './lib/placement/target_load.js';
export {FleetRetryBudget} from './lib/retry/fleet_retry_budget.js';
export type {RetryBudgetOptions} from './lib/retry/fleet_retry_budget.js';
export {silenceLimitMs} from './lib/retry/silence_limit.js';

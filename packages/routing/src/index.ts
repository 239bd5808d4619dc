/**
 * The gateway's routing decisions as pure code: no I/O, and callers pass in the
 * time.
 *
 * @packageDocumentation
 */
export {REFUSAL_REASON} from './lib/admission/admission.js';
export type {
  AdmissionDecision,
  AdmissionInput,
  RefusalReason,
} from './lib/admission/admission.js';
export {
  choosePlacement,
  placeAndAdmit,
} from './lib/admission/request_decision.js';
export type {
  RequestDecision,
  RequestNeeds,
} from './lib/admission/request_decision.js';
export type {ResumeNeeds} from './lib/admission/resumed_stream.js';
export {OverloadGuard} from './lib/admission/overload_guard.js';
export type {EventLoopSample} from './lib/admission/overload_guard.js';
export {BodyMemory} from './lib/admission/body_memory.js';
export {MemoryClaim} from './lib/admission/memory_claim.js';
export {ResponseMemory} from './lib/admission/response_memory.js';
export type {RefusedBody} from './lib/admission/body_memory.js';
export {RotationNotice} from './lib/admission/rotation_notice.js';
export {CustomerShares, ENGINE_POOL} from './lib/admission/customer_shares.js';
export type {
  ShareLevels,
  ShareStatus,
} from './lib/admission/customer_shares.js';
export type {CustomerUsage} from './lib/admission/usage_window.js';
export {SlidingWindowSum} from './lib/admission/sliding_window_sum.js';
export {RETRY_SAFETY} from './lib/config/fleet_config.js';
export type {
  ColdStartSpec,
  EngineSpec,
  FleetConfig,
  FleetLimits,
  RetrySafety,
  Route,
  Service,
  WeightedService,
} from './lib/config/fleet_config.js';
export {hostName, RouteTable} from './lib/config/route_table.js';
export {incarnationOf, TARGET_STATE} from './lib/config/target.js';
export type {
  Target,
  TargetIncarnation,
  TargetState,
} from './lib/config/target.js';
export {CRASH_STATUS, CrashTracker} from './lib/crash/crash_tracker.js';
export type {
  CrashStatus,
  CrashTrackerOptions,
} from './lib/crash/crash_tracker.js';
export {RETENTION_MS, UnresolvedRuns} from './lib/crash/unresolved_runs.js';
export type {EndedRun, SharedRun} from './lib/crash/unresolved_runs.js';
export {blockKey, isBlockKey} from './lib/crash/target_loss.js';
export type {
  Survival,
  Quarantine,
  TargetLoss,
} from './lib/crash/target_loss.js';
export {fairnessWindows} from './lib/fairness/fairness_windows.js';
export type {
  FairnessWindow,
  SecondUsage,
  UsageTimeline,
} from './lib/fairness/fairness_windows.js';
export {UsageRecorder} from './lib/fairness/usage_recorder.js';
export {ConfigFreshness} from './lib/freshness/config_freshness.js';
export type {ReadStamp} from './lib/freshness/config_freshness.js';
export {ConfigKnowledge} from './lib/freshness/config_knowledge.js';
export type {ConfigKnowledgeOptions} from './lib/freshness/config_knowledge.js';
export {ListFreshness} from './lib/freshness/list_freshness.js';
export type {ListFreshnessOptions} from './lib/freshness/list_freshness.js';
export {TransitDelay} from './lib/freshness/transit_delay.js';
export {ERA_ORDER, StoreEra} from './lib/freshness/store_era.js';
export type {EraOrder} from './lib/freshness/store_era.js';
export {COLD_REASON, ColdStart, coldShareOf} from './lib/health/cold_start.js';
export type {
  ColdBound,
  ColdReason,
  ColdShare,
} from './lib/health/cold_start.js';
export {ListenerHealth} from './lib/health/listener_health.js';
export {TargetHealth} from './lib/health/target_health.js';
export {ReturnTimes} from './lib/health/return_times.js';
export {TargetRateLimit} from './lib/health/target_rate_limit.js';
export {isExcessivePause, TargetPause} from './lib/health/target_pause.js';
export {ColdOwners} from './lib/membership/cold_owners.js';
export {Evacuations} from './lib/membership/evacuations.js';
export type {
  EvacuationChanges,
  EvacuationRead,
  EvacuationState,
} from './lib/membership/evacuations.js';
export {FleetLayout, relayOf} from './lib/membership/fleet_layout.js';
export type {Member} from './lib/membership/fleet_layout.js';
export {
  DEPARTURE_KIND,
  TargetDepartures,
} from './lib/membership/target_departures.js';
export type {
  Departure,
  DepartureKind,
  TargetList,
} from './lib/membership/target_departures.js';
export {TargetReports} from './lib/membership/target_reports.js';
export type {
  TargetRecordEntry,
  TargetReport,
} from './lib/membership/target_reports.js';
export {FirstEventModel} from './lib/placement/first_event_model.js';
export type {Candidate, Placement} from './lib/placement/placer.js';
export {PrefixCache} from './lib/placement/prefix_cache.js';
export {
  sessionOf,
  sharedBlocksOf,
  weightedTokensOf,
} from './lib/placement/prompt.js';
export type {PrefixBlock, Prompt} from './lib/placement/prompt.js';
export {addLoad, LocalLoad, NO_LOAD} from './lib/placement/target_load.js';
export type {LoadHandle, TargetLoad} from './lib/placement/target_load.js';
export {FleetRetryBudget} from './lib/retry/fleet_retry_budget.js';
export type {RetryBudgetOptions} from './lib/retry/fleet_retry_budget.js';
export {failoverTimeoutMs} from './lib/retry/failover_timeout.js';
export {callerGapLimitMs} from './lib/retry/caller_patience.js';
export {stallTimeoutMs} from './lib/retry/stall_timeout.js';
export type {
  JournalRecord,
  ServiceRecord,
  StreamsRecord,
} from './lib/versions/journal_record.js';
export {ServiceVersions} from './lib/versions/service_versions.js';
export type {
  RegisteredVersion,
  SeenVersion,
} from './lib/versions/service_versions.js';
export {streamRetentionMs} from './lib/versions/stream_retention.js';
export {attemptKeyOf, StreamVersions} from './lib/versions/stream_versions.js';
export type {AttemptKey} from './lib/versions/stream_versions.js';
export {
  JOURNAL_BATCH_INTERVAL_MS,
  VersionJournal,
} from './lib/versions/version_journal.js';
export type {VersionJournalOptions} from './lib/versions/version_journal.js';
export {resumedVersionNeed} from './lib/versions/version_need.js';
export type {ResumedStream, VersionNeed} from './lib/versions/version_need.js';

/**
 * Decisions of the router fleet as pure functions and state machines. They do
 * no I/O; callers pass in events and times and carry out the results.
 */
export {claimBatchSchema} from './lib/claims/claim_record.js';
export type {
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
  ReleaseRecord,
} from './lib/claims/claim_record.js';
export {ClaimTable} from './lib/claims/claim_table.js';
export type {ClaimState, ClaimVerdict} from './lib/claims/claim_table.js';
export {
  classifyRequest,
  indexApiKeys,
  resolveCustomer,
} from './lib/config/classify.js';
export type {RequestTraits, ResolvedCustomer} from './lib/config/classify.js';
export {
  applyDiff,
  configRecordSchema,
  diffConfigs,
} from './lib/config/config_record.js';
export type {
  ChangeOutcome,
  ConfigChange,
  ConfigDiff,
  ConfigRecord,
  ConfigSnapshot,
} from './lib/config/config_record.js';
export {
  CONFIG_SECTIONS,
  EMPTY_CONFIG,
  fleetConfigSchema,
  SERVICE_KIND,
} from './lib/config/config_schema.js';
export type {
  ConfigSection,
  CustomerConfig,
  FleetConfig,
  RequestClassConfig,
  ServiceConfig,
  TemplateConfig,
} from './lib/config/config_schema.js';
export {
  applyConfigRecord,
  configSnapshotOf,
  configStateFromSnapshot,
  INITIAL_CONFIG_STATE,
  newerConfigState,
} from './lib/config/config_state.js';
export type {ConfigLogRecord, ConfigState} from './lib/config/config_state.js';
export type {
  DispatchCommand,
  DispatcherOptions,
  DispatcherStats,
  DispatchEvent,
  RulesLookup,
} from './lib/dispatch/dispatch_events.js';
export {SLOT_OUTCOME} from './lib/dispatch/dispatch_types.js';
export type {
  Announcement,
  DispatcherMessage,
  DispatchRefusalReason,
  EntryMessage,
  HeldSlot,
  QueuedRequest,
  QueueRules,
  ServiceCounter,
  SlotOutcome,
  TargetView,
} from './lib/dispatch/dispatch_types.js';
export {Dispatcher} from './lib/dispatch/dispatcher.js';
export {DispatcherClient} from './lib/dispatch/dispatcher_client.js';
export type {
  DispatcherClientCommand,
  DispatcherClientEvent,
  DispatcherEndpoint,
} from './lib/dispatch/dispatcher_client.js';
export {fairnessBound} from './lib/dispatch/fairness_bound.js';
export type {BoundTerm} from './lib/dispatch/fairness_bound.js';
export type {FairnessReading} from './lib/dispatch/fairness_monitor.js';
export type {
  LimitSettings,
  TokenTimes,
} from './lib/dispatch/limit_controller.js';
export {POLICIES, POLICY_NAME} from './lib/dispatch/policy.js';
export type {Policy, PolicyName} from './lib/dispatch/policy.js';
export type {SlotSettings} from './lib/dispatch/slot_table.js';
export {
  estimateInputTokens,
  modelCallCost,
  OutputEstimator,
} from './lib/fairness/cost.js';
export type {TokenUsage} from './lib/fairness/cost.js';
export {ServiceCounters} from './lib/fairness/service_counters.js';
export {MemberView} from './lib/membership/member_view.js';
export type {
  ListedRouter,
  Member,
  PeerState,
} from './lib/membership/member_view.js';
export {rendezvousPick} from './lib/membership/rendezvous.js';
export {
  REFUSAL_STATUS,
  refusalBody,
  retryAfterSeconds,
} from './lib/request/refusal.js';
export type {Refusal, RefusalBody, RefusalKind} from './lib/request/refusal.js';
export {
  advanceRequest,
  initialRequestState,
  REQUEST_OUTCOME,
  REQUEST_PHASE,
  RUN_STATUS,
  runStatusOf,
} from './lib/request/request_state.js';
export type {
  InvalidTransition,
  RequestEvent,
  RequestOutcome,
  RequestPhase,
  RequestState,
  RunStatus,
} from './lib/request/request_state.js';
export {RetryBudget} from './lib/retry/retry_budget.js';
export type {TargetLoss} from '@applebend/routing';

/** The decisions of the fleet, pure: events in, commands out. */
export {claimBatchSchema} from './lib/claims/claim_record.js';
export type {
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
  ReleaseRecord,
} from './lib/claims/claim_record.js';
export {ClaimTable} from './lib/claims/claim_table.js';
export type {ClaimEntry, ClaimVerdict} from './lib/claims/claim_table.js';
export {
  classifyRequest,
  indexApiKeys,
  resolveCustomer,
} from './lib/config/classify.js';
export type {RequestTraits, ResolvedCustomer} from './lib/config/classify.js';
export {
  foldConfig,
  INITIAL_CONFIG_STATE,
  laterState,
  snapshotOf,
  stateFromSnapshot,
} from './lib/config/config_fold.js';
export type {ConfigState, LogEntry} from './lib/config/config_fold.js';
export {
  applyDiff,
  configRecordSchema,
  diffConfigs,
} from './lib/config/config_record.js';
export type {
  ChangeFate,
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
export {CrashLedger, STANDING} from './lib/crash/crash_ledger.js';
export type {Loss, Standing} from './lib/crash/crash_ledger.js';
export {SLOT_END} from './lib/dispatch/dispatch_types.js';
export type {
  Announcement,
  DispatcherMessage,
  DispatchRefusal,
  EntryMessage,
  HeldSlot,
  QueuedRequest,
  QueueRules,
  ServiceMark,
  SlotEnd,
  TargetView,
} from './lib/dispatch/dispatch_types.js';
export type {
  DispatchCommand,
  DispatcherOptions,
  DispatcherStats,
  DispatchEvent,
  RulesLookup,
} from './lib/dispatch/dispatch_events.js';
export {Dispatcher} from './lib/dispatch/dispatcher.js';
export {EntryCell} from './lib/dispatch/entry_cell.js';
export type {
  DispatcherHome,
  EntryCellCommand,
  EntryCellEvent,
} from './lib/dispatch/entry_cell.js';
export type {FairnessReading} from './lib/dispatch/fairness_monitor.js';
export {fairnessBound} from './lib/dispatch/fairness_bound.js';
export type {BoundTerm} from './lib/dispatch/fairness_bound.js';
export type {
  LimitTargets,
  TokenTimes,
} from './lib/dispatch/limit_controller.js';
export {POLICIES, POLICY} from './lib/dispatch/policy.js';
export type {Policy, PolicyName} from './lib/dispatch/policy.js';
export type {SlotSettings} from './lib/dispatch/slot_table.js';
export {
  estimateInputTokens,
  modelCost,
  OutputEstimator,
} from './lib/fairness/cost.js';
export type {TokenUse} from './lib/fairness/cost.js';
export {ServiceLedger} from './lib/fairness/service_ledger.js';
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
  RAN,
  ranOf,
  receivedRequest,
  REQUEST_END,
  REQUEST_PHASE,
} from './lib/request/request_state.js';
export type {
  InvalidTransition,
  Ran,
  RequestEnd,
  RequestEvent,
  RequestPhase,
  RequestState,
} from './lib/request/request_state.js';
export {RetryBudget} from './lib/retry/retry_budget.js';

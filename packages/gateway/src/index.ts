/** The gateway: accepts callers' requests and forwards them to targets. */
export {Gateway} from './lib/gateway.js';
export type {GatewayPorts} from './lib/gateway.js';
export {STORE_SIGN, StoreContact} from './lib/state/store_contact.js';
export type {
  StoreCallError,
  StoreCallTrace,
} from './lib/state/store_contact.js';
export {TargetListFollower} from './lib/state/target_list_follower.js';
export type {TargetListFollowerOptions} from './lib/state/target_list_follower.js';
export type {
  TargetListStore,
  TargetRecords,
} from './lib/state/target_list_store.js';
export {RECORD_TOPIC} from './lib/ports.js';
export type {
  ArchivedRecord,
  ArchivedRecords,
  ArchiveError,
  CallerRequest,
  HeaderCodec,
  ListenAddress,
  PeerAddress,
  PeerInfo,
  ConfirmedState,
  HeldState,
  RawHeaders,
  RecordArchive,
  RecordTopic,
  StateSourceCallbacks,
  StateSource,
  TargetInspection,
  TargetInspector,
  TargetResponseHead,
  TargetSignals,
  TargetRequest,
  TargetListStamp,
} from './lib/ports.js';
export type {GatewaySettings} from './lib/settings.js';

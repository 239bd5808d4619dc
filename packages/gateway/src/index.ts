/** The gateway: accepts callers' requests and forwards them to targets. */
export {Gateway} from './lib/gateway.js';
export type {GatewayPorts} from './lib/gateway.js';
export type {
  CallerRequest,
  GatewaySettings,
  HeaderCodec,
  ListenAddress,
  PeerAddress,
  PeerInfo,
  ConfirmedState,
  HeldState,
  RawHeaders,
  StateSourceCallbacks,
  StateSource,
  TargetInspection,
  TargetInspector,
  TargetResponseHead,
  TargetSignals,
  TargetRequest,
  TargetListStamp,
} from './lib/ports.js';

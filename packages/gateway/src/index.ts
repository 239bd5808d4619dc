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
  RawHeaders,
  StateSourceCallbacks,
  StateSource,
  TargetResponseHead,
  TargetInspector,
  TargetRequest,
  TargetListStamp,
} from './lib/ports.js';

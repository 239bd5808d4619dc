/** The gateway: forwards requests to targets by the fleet's decisions. */
export {Gateway} from './lib/gateway.js';
export type {GatewayPorts} from './lib/gateway.js';
export type {
  CallerRequest,
  GatewaySettings,
  HeaderCodec,
  ListenAddress,
  PeerAddress,
  PeerInfo,
  ProvenState,
  RawHeaders,
  StateEvents,
  StateSource,
  TargetAnswer,
  TargetInspector,
  TargetRequest,
  TargetsStamp,
} from './lib/ports.js';

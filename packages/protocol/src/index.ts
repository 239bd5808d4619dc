/** The protocol between instances: messages, their encoding and links. */
export {decodeMessages, encodeFrame, encodeMessages} from './lib/codec.js';
export type {FrameError} from './lib/codec.js';
export type {PeerIdentity} from './lib/handshake.js';
export {Link} from './lib/link.js';
export type {
  LinkCloseReason,
  LinkCallbacks,
  LinkOptions,
  LinkTraffic,
} from './lib/link.js';
export {PROTOCOL_VERSION} from './lib/messages.js';
export type {PeerMessage} from './lib/messages.js';

/**
 * Helpers for all other packages.
 *
 * @packageDocumentation
 */
export {BusyMeter} from './lib/busy_meter.js';
export {isBoundedMsgpack} from './lib/check_msgpack.js';
export {systemClock} from './lib/clock.js';
export type {Clock} from './lib/clock.js';
export {containFaults} from './lib/contain_faults.js';
export type {Contain} from './lib/contain_faults.js';
export {EventThrottle} from './lib/event_throttle.js';
export {evictOldest} from './lib/evict_oldest.js';
export {FlushedEndSocket} from './lib/flushed_end_socket.js';
export {GrowingBuffer} from './lib/growing_buffer.js';
export {hash32, requestFingerprint, sha256Hex} from './lib/hash.js';
export {httpCall} from './lib/http_call.js';
export type {HttpCall, HttpCallError, HttpResponse} from './lib/http_call.js';
export {startInternalServer} from './lib/internal_server.js';
export type {InternalHandler} from './lib/internal_server.js';
export {logServerErrors} from './lib/log_server_errors.js';
export {afterLoopTime} from './lib/loop_timer.js';
export {Mailbox} from './lib/mailbox.js';
export {listenWhenFree, openPort, settle} from './lib/open_port.js';
export type {PortError, PortLog, PortOptions} from './lib/open_port.js';
export {parseJson} from './lib/parse_json.js';
export {allValues, hasValidNames} from './lib/raw_headers.js';
export {Random} from './lib/random.js';
export {
  isInvalidResponseError,
  receiveAll,
  receiveResponse,
} from './lib/receive_response.js';
export type {
  CompleteResponse,
  ReceivedResponse,
  ResponseEvents,
} from './lib/receive_response.js';
export type {InvalidResponse} from './lib/response_check.js';
export {fail, ok} from './lib/result.js';
export type {Result} from './lib/result.js';
export {sleep} from './lib/sleep.js';
export {errorMessage, TaggedError} from './lib/tagged_error.js';
export type {ErrorTag} from './lib/tagged_error.js';

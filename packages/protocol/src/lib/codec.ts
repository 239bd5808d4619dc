import {Packr} from 'msgpackr';
import {fail, errorMessage, isBoundedMsgpack, ok} from '@applebend/utils';
import {frameSchema} from './messages.js';
import {unpackMessage, packMessage} from './wire_format.js';

import type {Result} from '@applebend/utils';
import type {PeerMessage} from './messages.js';

/** Why a frame could not be decoded. @public */
export interface FrameError {
  readonly kind: 'malformed_frame';
  readonly message: string;
}

const MAX_MESSAGES_PER_FRAME = 65_536;

const packr = new Packr({useRecords: false});

/** Encodes any value as a frame, the handshake included. @public */
export function encodeFrame(frame: unknown): Buffer {
  return packr.pack(frame);
}

/** Decodes a frame from msgpack without validating its content. @public */
export function decodeFrame(data: Uint8Array): Result<unknown, FrameError> {
  if (!isBoundedMsgpack(data)) {
    return fail({kind: 'malformed_frame', message: 'not bounded MessagePack'});
  }
  try {
    return ok(packr.unpack(data));
  } catch (err) {
    return fail({kind: 'malformed_frame', message: errorMessage(err)});
  }
}

/** Encodes messages that are sent together in one frame. @public */
export function encodeMessages(messages: readonly PeerMessage[]): Buffer {
  return encodeFrame(messages.map(packMessage));
}

/** Decodes and validates a frame of messages. @public */
export function decodeMessages(
  data: Uint8Array
): Result<readonly PeerMessage[], FrameError> {
  const decoded = decodeFrame(data);
  if (!decoded.ok) return decoded;
  const wire = decoded.value;
  if (!Array.isArray(wire) || wire.length > MAX_MESSAGES_PER_FRAME) {
    return fail({
      kind: 'malformed_frame',
      message: 'not an array of messages, or too many',
    });
  }
  const parsed = frameSchema.safeParse(wire.map(unpackMessage));
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const message = `${issue?.path.join('.')}: ${issue?.message}`;
  return fail({kind: 'malformed_frame', message});
}

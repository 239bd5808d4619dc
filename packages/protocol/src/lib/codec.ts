/** Turns messages into frames and back. */
import {Packr} from 'msgpackr';
import {fail, messageOf, ok} from '@applebend/utils';
import {frameSchema} from './messages.js';

import type {Result} from '@applebend/utils';
import type {PeerMessage} from './messages.js';

/** Why a frame was not understood. @public */
export interface FrameError {
  readonly kind: 'malformed_frame';
  readonly message: string;
}

const packr = new Packr({useRecords: false});

/** Encodes any frame, a hello included. @public */
export function encodeFrame(frame: unknown): Buffer {
  return packr.pack(frame);
}

/** Decodes a frame without checking its content. @public */
export function decodeFrame(data: Uint8Array): Result<unknown, FrameError> {
  try {
    return ok(packr.unpack(data));
  } catch (err) {
    return fail({kind: 'malformed_frame', message: messageOf(err)});
  }
}

/** Decodes and checks a frame of messages. @public */
export function decodeMessages(
  data: Uint8Array
): Result<readonly PeerMessage[], FrameError> {
  const decoded = decodeFrame(data);
  if (!decoded.ok) return decoded;
  const parsed = frameSchema.safeParse(decoded.value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const message = `${issue?.path.join('.')}: ${issue?.message}`;
  return fail({kind: 'malformed_frame', message});
}

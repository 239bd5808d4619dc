import {isChunked, watchBodyEnd} from './body_end.js';
import {ChunkScanner} from './chunk_scanner.js';
import {HeadScanner} from './head_scanner.js';
import {limitInformation} from './limit_information.js';
import {readAll} from './read_all.js';
import {checkResponse} from './response_check.js';
import {TaggedError} from './tagged_error.js';

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {InvalidResponse} from './response_check.js';

/** A response with a valid head, whose body is unread. @public */
export interface ReceivedResponse {
  readonly res: http.IncomingMessage;
  /** Whether the body arrived in full; valid once the stream has ended. */
  isComplete(): boolean;
}

/** A response with its whole body. @public */
export interface CompleteResponse {
  readonly res: http.IncomingMessage;
  readonly body: Buffer;
}

/** What became of a request; one of these is called, and once. @public */
export interface ResponseEvents {
  onResponse(response: ReceivedResponse): void;
  /** Called with a `TaggedError` if the response is not valid. */
  onError(err: Error): void;
}

/**
 * Receives the response to a request. Every end of the request is reported: also
 * a connection that closes without an error, and a switch to another protocol,
 * which Node reports in ways of their own. A response that is not valid ends the
 * request before anything of it is used.
 *
 * @public
 */
export function receiveResponse(
  req: http.ClientRequest,
  events: ResponseEvents
): void {
  let isSettled = false;
  let isValid = true;
  const fail = (err: Error) => {
    if (isSettled) return;
    isSettled = true;
    events.onError(err);
  };
  let received: http.IncomingMessage | undefined;
  const reject = (invalid: InvalidResponse) => {
    isValid = false;
    // The parser goes on with the bytes at hand; paused, none of them leave it.
    received?.pause();
    fail(TaggedError.create(invalid));
    req.destroy();
  };
  limitInformation(req);
  scanFraming(req, () => reject(invalidResponse('line break')));
  req.on('upgrade', (_res, socket) => {
    socket.destroy();
    reject(invalidResponse('status 101'));
  });
  req.on('error', fail);
  req.on('close', () => fail(closedWithoutResponse()));
  req.on('response', res => {
    if (isSettled) return;
    const invalid = checkResponse(res);
    if (invalid !== undefined) {
      reject(invalid);
      return;
    }
    isSettled = true;
    received = res;
    const hasEnded = watchBodyEnd(res);
    events.onResponse({res, isComplete: () => isValid && hasEnded()});
  });
}

/**
 * Receives a response with its complete body. Rejects if there is none, if it
 * is not valid, and if its body ends early or has more than `maxBytes`.
 *
 * @public
 */
export function receiveAll(
  req: http.ClientRequest,
  maxBytes: number
): Promise<CompleteResponse> {
  return new Promise((resolve, reject) => {
    const onResponse = async ({res, isComplete}: ReceivedResponse) => {
      const body = await readAll(res, maxBytes);
      if (!isComplete()) throw endedEarly();
      resolve({res, body});
    };
    receiveResponse(req, {
      onResponse: received => onResponse(received).catch(reject),
      onError: reject,
    });
  });
}

/** Whether a request failed because its response is not valid. @public */
export function isInvalidResponseError(err: Error): boolean {
  return err instanceof TaggedError && err.tag.kind === 'invalid_response';
}

/** Reads along what Node's parser reads, up to the end of the framing. */
function scanFraming(req: http.ClientRequest, onInvalid: () => void): void {
  const head = HeadScanner.create();
  let chunks: ChunkScanner | undefined;
  const onData = (bytes: Buffer) => {
    const isValid =
      chunks === undefined ? head.push(bytes) : chunks.push(bytes);
    if (!isValid) onInvalid();
  };
  req.on('socket', (socket: Socket) => {
    // Before Node's own listener, which parses the bytes.
    socket.prependListener('data', onData);
    const stop = () => socket.off('data', onData);
    req.once('close', stop);
    req.once('response', res => {
      if (!isChunked(res)) {
        stop();
        return;
      }
      chunks = ChunkScanner.create();
      onData(head.rest);
    });
  });
  req.on('information', () => {
    if (!head.startNextHead()) onInvalid();
  });
}

function invalidResponse(message: string): InvalidResponse {
  return {kind: 'invalid_response', message};
}

function closedWithoutResponse(): Error {
  const message = 'connection closed without a response';
  return TaggedError.create({kind: 'no_response', message});
}

function endedEarly(): Error {
  return TaggedError.create({kind: 'ended_early', message: 'ended early'});
}

import http from 'node:http';
import {
  fail,
  errorMessage,
  FlushedEndSocket,
  ok,
  receiveResponse,
} from '@applebend/utils';

import type net from 'node:net';
import type {ReceivedResponse, Result} from '@applebend/utils';
import type {TargetAddress} from '../membership/target_directory.js';
import type {HttpHeaders} from './caller.js';

/** A request to a target. @public */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Buffer;
}

/** Why there was no response from a target. @public */
export interface TargetFailure {
  readonly kind: 'connect_failed' | 'interrupted' | 'stalled' | 'aborted';
  readonly message: string;
}

const PROBE_TIMEOUT_MS = 1000;

/**
 * Opens a connection for one request. If this fails, no byte of the request
 * was sent.
 *
 * @public
 */
export function connectTarget(
  address: TargetAddress,
  timeoutMs: number,
  signal?: AbortSignal
): Promise<Result<net.Socket, TargetFailure>> {
  return new Promise(resolve => {
    const {host, port} = address;
    const options = {host, port, signal, noDelay: true};
    const socket = FlushedEndSocket.create(options);
    const timer = setTimeout(() => settle('timeout'), timeoutMs);
    const settle = (message: string) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(fail({kind: 'connect_failed', message}));
    };
    const onError = (err: Error) => settle(errorMessage(err));
    // Stays: an abort may come before the request listens for errors itself.
    socket.on('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(ok(socket));
    });
  });
}

/**
 * Whether a target responds to a request, with any valid status. A connection
 * alone does not show that, since an exiting process may still accept
 * connections.
 *
 * @public
 */
export function probeTarget(address: TargetAddress): Promise<boolean> {
  const {host, port} = address;
  return new Promise(resolve => {
    const req = http.request({host, port, path: '/', agent: false});
    const timer = setTimeout(() => req.destroy(), PROBE_TIMEOUT_MS);
    req.on('close', () => clearTimeout(timer));
    receiveResponse(req, {
      onResponse: ({res}) => {
        res.resume();
        resolve(true);
      },
      onError: () => resolve(false),
    });
    req.end();
  });
}

/**
 * Sends a request and waits for the response headers. The stall timeout stays
 * in effect while the response is read.
 *
 * @public
 */
export function sendRequest(
  socket: net.Socket,
  request: TargetRequest,
  stallTimeoutMs: number,
  signal: AbortSignal
): Promise<Result<ReceivedResponse, TargetFailure>> {
  return new Promise(resolve => {
    let failure: TargetFailure['kind'] = 'interrupted';
    const req = http.request({
      method: request.method,
      path: request.path,
      headers: definedHeaders(request.headers),
      createConnection: () => socket,
      signal,
    });
    socket.setTimeout(stallTimeoutMs, () => {
      failure = 'stalled';
      socket.destroy();
    });
    receiveResponse(req, {
      onResponse: received => resolve(ok(received)),
      onError: err => {
        const kind = signal.aborted ? 'aborted' : failure;
        resolve(fail({kind, message: errorMessage(err)}));
      },
    });
    req.end(request.body);
  });
}

function definedHeaders(headers: HttpHeaders): http.OutgoingHttpHeaders {
  const defined: http.OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) defined[name] = value;
  }
  return defined;
}

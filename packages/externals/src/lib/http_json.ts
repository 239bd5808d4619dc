import http from 'node:http';
import {fail, errorMessage, ok, receiveAll} from '@applebend/utils';

import type {Result} from '@applebend/utils';

/** The request failed, or its response could not be read. @public */
export interface TransportError {
  readonly kind: 'transport_error';
  readonly message: string;
  /**
   * Whether the request may have taken effect: false only if no connection was
   * established.
   */
  readonly maybeSent: boolean;
}

/** A response with any status. @public */
export interface JsonResponse {
  readonly status: number;
  /** The parsed JSON, or undefined if the body is empty. */
  readonly body: unknown;
}

/** A request with an optional JSON body. @public */
export interface JsonRequest {
  readonly method: string;
  readonly url: string;
  readonly body?: unknown;
  /** The limit for the whole exchange, response body included. */
  readonly timeoutMs: number;
  /** The local address to connect from. */
  readonly localAddress?: string | undefined;
}

/** A longer response cannot be read. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;
const agent = new http.Agent({keepAlive: true, maxSockets: 16});

/** Sends a request and reads the complete response. @public */
export function requestJson(
  request: JsonRequest
): Promise<Result<JsonResponse, TransportError>> {
  return new Promise(resolve => {
    const payload =
      request.body === undefined ? undefined : JSON.stringify(request.body);
    let connected = false;
    const resolveFailure = (message: string) =>
      resolve(fail({kind: 'transport_error', message, maybeSent: connected}));
    const req = http.request(request.url, {
      method: request.method,
      agent,
      localAddress: request.localAddress,
      timeout: request.timeoutMs,
      headers:
        payload === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(payload),
            },
    });
    const timer = setTimeout(() => {
      resolveFailure('timeout');
      req.destroy();
    }, request.timeoutMs);
    req.on('socket', socket => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    req.on('close', () => clearTimeout(timer));
    receiveJson(req).then(
      response => resolve(ok(response)),
      err => resolveFailure(errorMessage(err))
    );
    req.end(payload);
  });
}

async function receiveJson(req: http.ClientRequest): Promise<JsonResponse> {
  const {res, body} = await receiveAll(req, MAX_RESPONSE_BYTES);
  const text = body.toString('utf8');
  const value = text === '' ? undefined : JSON.parse(text);
  return {status: res.statusCode ?? 0, body: value};
}

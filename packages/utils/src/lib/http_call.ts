import http from 'node:http';
import {systemClock} from './clock.js';
import {afterLoopTime} from './loop_timer.js';
import {receiveAll} from './receive_response.js';
import {fail, ok} from './result.js';
import {errorMessage} from './tagged_error.js';

import type {Result} from './result.js';

/** A request to one server. @public */
export interface HttpCall {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly body?: Buffer;
  /** Time of the event loop until the response has to be complete. */
  readonly timeoutMs: number;
  readonly agent: http.Agent;
}

/** A complete response. @public */
export interface HttpResponse {
  readonly status: number;
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Why a call has no complete response. @public */
export interface HttpCallError {
  readonly kind: 'no_response';
  readonly message: string;
  /** Time from the call to its failure. */
  readonly elapsedMs: number;
  /** Whether its connection had served an earlier call. */
  readonly isKeptConnection: boolean;
  /** Whether the time for it was over, and the connection still open. */
  readonly isTimeout: boolean;
}

/** A longer response is rejected; a page of a store has some 1.4 MB at most. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/**
 * Sends a request and reads the complete response. Fails if it does not arrive
 * within the timeout, is not valid or is too long.
 *
 * @public
 */
export function httpCall(
  call: HttpCall
): Promise<Result<HttpResponse, HttpCallError>> {
  const {body, timeoutMs} = call;
  const sentAtMs = systemClock.monotonicMs();
  return new Promise(resolve => {
    let isTimeout = false;
    const onError = (err: unknown, req?: http.ClientRequest) =>
      resolve(
        fail({
          kind: 'no_response',
          message: errorMessage(err),
          elapsedMs: systemClock.monotonicMs() - sentAtMs,
          isKeptConnection: req?.reusedSocket ?? false,
          isTimeout,
        })
      );
    const opened = openRequest(call);
    if (!opened.ok) {
      onError(opened.err);
      return;
    }
    const req = opened.value;
    const onTimeout = () => {
      isTimeout = true;
      req.destroy(timeoutError(timeoutMs));
    };
    const cancelTimeout = afterLoopTime(timeoutMs, onTimeout);
    req.on('close', cancelTimeout);
    receiveAll(req, MAX_RESPONSE_BYTES).then(
      ({res, body: bytes}) => {
        const {statusCode: status = 0, rawHeaders} = res;
        resolve(ok({status, rawHeaders, body: bytes}));
      },
      err => onError(err, req)
    );
    req.end(body);
  });
}

/** Opens a request; fails if the address cannot be used. */
function openRequest(call: HttpCall): Result<http.ClientRequest, unknown> {
  const {host, port, method, path, agent, body} = call;
  const headers = body && {'Content-Length': body.length};
  try {
    return ok(http.request({host, port, method, path, agent, headers}));
  } catch (err) {
    return fail(err);
  }
}

function timeoutError(timeoutMs: number): Error {
  return new Error(`no complete response in ${timeoutMs} ms`);
}

import {allValues, hasValidNames} from './raw_headers.js';

import type http from 'node:http';

/** A response that is not valid; nothing that it says may be used. @public */
export interface InvalidResponse {
  readonly kind: 'invalid_response';
  readonly message: string;
}

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const MAJOR_VERSION = 1;
const CHUNKED = 'chunked';
/** The text behind the status, by RFC 9112. */
const REASON = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Each returns what is wrong with a head, or undefined. */
const CHECKS: ReadonlyArray<(res: http.IncomingMessage) => string | undefined> =
  [checkVersion, checkStatus, checkReason, checkNames, checkCodings];

/**
 * Checks what Node's parser lets through of the head of a final response, by
 * RFC 9110 and 9112. Returns why it is not valid, or undefined if it is.
 *
 * @internal
 */
export function checkResponse(
  res: http.IncomingMessage
): InvalidResponse | undefined {
  for (const check of CHECKS) {
    const message = check(res);
    if (message !== undefined) return {kind: 'invalid_response', message};
  }
  return undefined;
}

function checkVersion(res: http.IncomingMessage): string | undefined {
  if (res.httpVersionMajor === MAJOR_VERSION) return undefined;
  return `version ${res.httpVersion}`;
}

function checkStatus({
  statusCode = 0,
}: http.IncomingMessage): string | undefined {
  const isFinal = statusCode >= FIRST_FINAL_STATUS && statusCode <= LAST_STATUS;
  return isFinal ? undefined : `status ${statusCode}`;
}

function checkReason({
  statusMessage = '',
}: http.IncomingMessage): string | undefined {
  return REASON.test(statusMessage) ? undefined : 'reason phrase';
}

function checkNames({rawHeaders}: http.IncomingMessage): string | undefined {
  return hasValidNames(rawHeaders) ? undefined : 'field name';
}

/** Only chunks can be decoded; they came with version 1.1. */
function checkCodings(res: http.IncomingMessage): string | undefined {
  const codings = allValues(res.rawHeaders, 'transfer-encoding');
  if (codings.length === 0) return undefined;
  const isChunked =
    codings.length === 1 && codings[0].trim().toLowerCase() === CHUNKED;
  const isKnown = isChunked && res.httpVersionMinor > 0;
  return isKnown ? undefined : 'transfer coding';
}

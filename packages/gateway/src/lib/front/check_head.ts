import {hasValidNames} from '@applebend/utils';
import {EXECUTION} from '../execution.js';
import {STATUS} from './responses.js';

import type http from 'node:http';
import type {GatewayResponse} from './responses.js';

const NO_HOST: GatewayResponse = {
  status: STATUS.badRequest,
  kind: 'no_host',
  execution: EXECUTION.notRun,
};

const INVALID_NAME: GatewayResponse = {
  status: STATUS.badRequest,
  kind: 'invalid_name',
  execution: EXECUTION.notRun,
};

const UNKNOWN_EXPECTATION: GatewayResponse = {
  status: STATUS.expectationFailed,
  kind: 'unknown_expectation',
  execution: EXECUTION.notRun,
};

/**
 * Header lines that a request may have. Callers send some 10. Each line takes
 * some 200 bytes of the heap, so that a head of many short lines would take far
 * more than its length.
 */
export const MAX_HEADER_LINES = 128;

const CONTINUE = /(?:^|\W)100-continue(?:$|\W)/i;

/**
 * Returns the response to a head that HTTP does not allow. Node would respond to
 * some by itself, but to any number of pipelined requests at once.
 *
 * @public
 */
export function checkHead(
  req: Pick<http.IncomingMessage, 'headers' | 'rawHeaders' | 'httpVersion'>
): GatewayResponse | undefined {
  if (!hasValidNames(req.rawHeaders)) return INVALID_NAME;
  if (req.httpVersion !== '1.1') return undefined;
  const {host, expect} = req.headers;
  if (host === undefined) return NO_HOST;
  const isUnknown = expect !== undefined && !CONTINUE.test(expect);
  return isUnknown ? UNKNOWN_EXPECTATION : undefined;
}

/**
 * Whether a head has more lines than a request may have, whose names and values
 * alternate in `rawHeaders`.
 *
 * @public
 */
export function hasTooManyLines({
  rawHeaders,
}: Pick<http.IncomingMessage, 'rawHeaders'>): boolean {
  return rawHeaders.length > 2 * MAX_HEADER_LINES;
}

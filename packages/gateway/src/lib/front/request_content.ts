import type {RequestContent} from '../crash/request_fingerprint.js';
import type {InboundRequest} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** What all attempts at one request have in common. @public */
export function requestContent(
  {customer}: RequestContext,
  {req, body}: InboundRequest
): RequestContent {
  const {method = 'GET', url = '/', headers} = req;
  return {method, host: headers.host ?? '', url, customer, body};
}

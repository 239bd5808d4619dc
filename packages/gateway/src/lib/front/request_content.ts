import type {RequestContent} from '../crash/request_fingerprint.js';
import type {InboundRequest} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** What all attempts at one request have in common. @public */
export function requestContent(
  {customer}: RequestContext,
  inbound: InboundRequest
): RequestContent {
  const {method = 'GET', url = '/', headers} = inbound.req;
  return {
    method,
    host: headers.host ?? '',
    url,
    customer,
    // Read late, since no copy of the reference may outlast the request.
    get body() {
      return inbound.body;
    },
  };
}

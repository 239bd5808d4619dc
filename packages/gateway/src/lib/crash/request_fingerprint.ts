import {hostName} from '@applebend/routing';
import {requestFingerprint} from '@applebend/utils';

/** What makes two attempts the same request. @public */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  /** Undefined on public routes. */
  readonly customer: string | undefined;
  body: Buffer | undefined;
}

/** The same for all attempts at one request, whoever receives them. @public */
export function fingerprintOf(content: RequestContent): string {
  const {method, host, url, customer = '', body} = content;
  const text = body?.toString('latin1') ?? '';
  return requestFingerprint([method, hostName(host), url, customer, text]);
}

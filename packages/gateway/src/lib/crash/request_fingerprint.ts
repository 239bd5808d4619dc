import {sha256Hex} from '@applebend/utils';

/** What makes two attempts the same request. @public */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  /** Undefined on public routes. */
  readonly customer: string | undefined;
  readonly body: Buffer | undefined;
}

/** Hex digits of a fingerprint; short, since peers send them to each other. */
const FINGERPRINT_DIGITS = 16;

/** The same for all attempts at one request, whoever receives them. @public */
export function fingerprintOf(content: RequestContent): string {
  const {method, host, url, customer, body} = content;
  const bodyHash = sha256Hex(body ?? '');
  const parts = [method, host.toLowerCase(), url, customer ?? null, bodyHash];
  return sha256Hex(JSON.stringify(parts)).slice(0, FINGERPRINT_DIGITS);
}

import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {PROTOCOL_VERSION} from './messages.js';

import type {Hello} from './messages.js';

const NONCE_BYTES = 16;

/** How an instance identifies itself to its peers. @public */
export interface PeerIdentity {
  readonly instance: string;
  /** Identifies this run of the process; it changes at every restart. */
  readonly incarnation: string;
}

/** Creates the first frame of a handshake, with a random nonce. @public */
export function createHello(identity: PeerIdentity): Hello {
  return {
    type: 'hello',
    version: PROTOCOL_VERSION,
    instance: identity.instance,
    incarnation: identity.incarnation,
    nonce: randomBytes(NONCE_BYTES).toString('hex'),
  };
}

/**
 * Computes the sender's proof that it knows the shared secret: an HMAC-SHA256
 * over both hellos, in hexadecimal. The sender's own hello comes first, so a
 * proof that is reflected to its sender is not valid.
 *
 * @public
 */
export function computeProof(secret: string, own: Hello, other: Hello): string {
  return createHmac('sha256', secret)
    .update(JSON.stringify([identityOf(own), identityOf(other)]))
    .digest('hex');
}

/** Whether the proof of the other side is valid. @public */
export function isValidProof(
  secret: string,
  own: Hello,
  other: Hello,
  mac: string
): boolean {
  const expected = Buffer.from(computeProof(secret, other, own));
  const proof = Buffer.from(mac);
  return proof.length === expected.length && timingSafeEqual(proof, expected);
}

function identityOf(hello: Hello): readonly string[] {
  return [hello.instance, hello.incarnation, hello.nonce];
}

/** The authenticated hello: each side proves that it knows the secret. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {PROTOCOL_VERSION} from './messages.js';

import type {Hello} from './messages.js';

const NONCE_BYTES = 16;

/** Who this process is to its peers. @public */
export interface PeerIdentity {
  readonly instance: string;
  readonly incarnation: string;
}

/** A fresh hello with its own nonce. @public */
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
 * The sender's proof over both hellos. The order of the two differs between
 * the sides, so a proof cannot be sent back to the one that made it.
 *
 * @public
 */
export function computeProof(secret: string, own: Hello, other: Hello): string {
  return createHmac('sha256', secret)
    .update(JSON.stringify([identityOf(own), identityOf(other)]))
    .digest('hex');
}

/** Whether a proof was made by a peer that knows the secret. @public */
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

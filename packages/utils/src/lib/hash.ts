import {createHash} from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Short, since peers send fingerprints to each other. */
const FINGERPRINT_BYTES = 8;

/**
 * A fast 32-bit hash that is not cryptographic: FNV-1a over UTF-16 code units,
 * then bit mixing for an even spread.
 *
 * @public
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mixBits(hash);
}

/** The SHA-256 hash of a string (as UTF-8) or of bytes, in hex. @public */
export function sha256Hex(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

/**
 * A short hash that equal requests share, in base64url. The parts must not
 * contain a NUL character, except for the last one.
 *
 * @public
 */
export function requestFingerprint(parts: readonly string[]): string {
  const text = parts.join('\u0000');
  const hash = createHash('sha256').update(text, 'latin1').digest();
  return hash.subarray(0, FINGERPRINT_BYTES).toString('base64url');
}

/** The finalizer of MurmurHash3. */
function mixBits(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

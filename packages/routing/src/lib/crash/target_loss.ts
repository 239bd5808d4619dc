import {requestFingerprint} from '@applebend/utils';

/** A request that was running on a target when the target was lost. @public */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
  /** Whether the target had already responded with a part of a stream. */
  readonly hasProgressed?: boolean;
  /**
   * Keys of the blocks of its prompt that may have crashed the target, in the
   * order of the prompt; see `blockKey`.
   */
  readonly blocks?: readonly string[];
}

/** A request, or a block of prompts, that must not run for some time. @public */
export interface Quarantine {
  /** The fingerprint of the request, or the key of the block. */
  readonly fingerprint: string;
  /** Number of targets that were lost under it; some count half. */
  readonly losses: number;
  /** Milliseconds until one copy may be tried again. */
  readonly leftMs: number;
}

/**
 * When a target was known to live on after it had run a request to its end, or
 * had written on a block of its prompt.
 *
 * @public
 */
export interface Survival {
  /** The fingerprint of the request, or the key of the block. */
  readonly key: string;
  readonly ageMs: number;
}

const BLOCK_PREFIX = 'block:';
/** Bounds messages between peers; a longer id is replaced by its hash. */
const MAX_ID_LENGTH = 32;

/**
 * Identifies a block of prompts among all that can be in quarantine. It differs
 * from the fingerprint of any request.
 *
 * @public
 */
export function blockKey(id: string): string {
  const name = id.length <= MAX_ID_LENGTH ? id : requestFingerprint([id]);
  return `${BLOCK_PREFIX}${name}`;
}

/** Whether a key names a block of prompts, and not a request. @public */
export function isBlockKey(key: string): boolean {
  return key.startsWith(BLOCK_PREFIX);
}

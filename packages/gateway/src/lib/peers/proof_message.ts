/** Asking a peer which state is newest, and its answer. */
import {pack} from 'msgpackr';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Target} from '@applebend/routing';
import type {ConfirmedState} from '../ports.js';

/** A longer list is not sent; whoever asked reads it. */
const MAX_LIST_BYTES = 32 * 1024;

/** @public */
export interface ProofAsk {
  /** Names the question. */
  readonly nonce: number;
  /** Names the list of targets that whoever asks holds. */
  readonly targetsKey: number;
}

/** The answer to one question. @public */
export interface ProofAnswer {
  readonly nonce: number;
  readonly state: ConfirmedState;
}

/** @public */
export function encodeAsk({nonce, targetsKey}: ProofAsk): Buffer {
  return pack([MESSAGE_KIND.ask, nonce, targetsKey]);
}

/** The question; undefined where it is broken. @public */
export function decodeAsk(wire: readonly unknown[]): ProofAsk | undefined {
  const [, nonce, targetsKey] = wire;
  if (typeof nonce !== 'number') return undefined;
  if (typeof targetsKey !== 'number') return undefined;
  return {nonce, targetsKey};
}

/** @public */
export function encodeAnswer(ask: ProofAsk, state: ConfirmedState): Buffer {
  const {configVersion, targetsKey, targets} = state;
  const head = [MESSAGE_KIND.answer, ask.nonce, configVersion, targetsKey];
  if (ask.targetsKey === targetsKey) return pack(head);
  const bytes = pack([...head, targets]);
  return bytes.length <= MAX_LIST_BYTES ? bytes : pack(head);
}

/** The answer; undefined where it is broken. @public */
export function decodeAnswer(
  wire: readonly unknown[]
): ProofAnswer | undefined {
  const [, nonce, configVersion, targetsKey, list] = wire;
  if (typeof nonce !== 'number') return undefined;
  if (typeof configVersion !== 'number') return undefined;
  if (typeof targetsKey !== 'number') return undefined;
  const targets = Array.isArray(list) ? (list as Target[]) : undefined;
  return {nonce, state: {configVersion, targetsKey, targets}};
}

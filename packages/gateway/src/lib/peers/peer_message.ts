/** What instances tell each other, many times a second, as one datagram. */
import {pack, unpack} from 'msgpackr';

import type {TargetsStamp} from '../ports.js';
import type {LoadRow} from '../state/peer_loads.js';

/** Service of one customer since the sender's start, in weighted tokens. */
export interface UseRow {
  readonly customer: string;
  readonly asked: number;
  readonly given: number;
}

/** A prompt that was sent to a target since the last message. */
export interface PlacedRow {
  readonly target: string;
  readonly parts: readonly {readonly id: string; readonly tokens: number}[];
}

/** @public */
export interface PeerMessage {
  readonly instance: string;
  /** Differs in each life of the sender. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly leaving: boolean;
  readonly targets: TargetsStamp;
  /** All targets at which the sender has work. */
  readonly loads: readonly LoadRow[];
  readonly uses: readonly UseRow[];
  readonly placed: readonly PlacedRow[];
}

const PROTOCOL_VERSION = 2;

/** Rows without field names, to keep datagrams small. */
type Wire = [
  version: number,
  instance: string,
  incarnation: number,
  sequence: number,
  leaving: boolean,
  targetsKey: number,
  targetsAgeMs: number,
  loads: [string, number, number, number][],
  uses: [string, number, number][],
  placed: [string, (string | number)[]][],
];

/** @public */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const wire: Wire = [
    PROTOCOL_VERSION,
    message.instance,
    message.incarnation,
    message.sequence,
    message.leaving,
    message.targets.key,
    Math.round(message.targets.ageMs),
    message.loads.map(row => [
      row.target,
      row.running,
      Math.round(row.prefillTokens),
      Math.round(row.kvTokens),
    ]),
    message.uses.map(row => [
      row.customer,
      Math.round(row.asked),
      Math.round(row.given),
    ]),
    message.placed.map(row => [
      row.target,
      row.parts.flatMap(part => [part.id, part.tokens]),
    ]),
  ];
  return pack(wire);
}

/** The message; undefined for bytes that are none of this version. @public */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const wire = unpackSafely(bytes);
  if (!Array.isArray(wire) || wire[0] !== PROTOCOL_VERSION) return undefined;
  const [, instance, incarnation, sequence, leaving, key, ageMs] = wire as Wire;
  const [loads, uses, placed] = (wire as Wire).slice(7) as [
    Wire[7],
    Wire[8],
    Wire[9],
  ];
  if (typeof instance !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  if (![loads, uses, placed].every(rows => Array.isArray(rows))) {
    return undefined;
  }
  return {
    instance,
    incarnation,
    sequence,
    leaving,
    targets: {key, ageMs},
    loads: loads.map(([target, running, prefillTokens, kvTokens]) => ({
      target,
      running,
      prefillTokens,
      kvTokens,
    })),
    uses: uses.map(([customer, asked, given]) => ({customer, asked, given})),
    placed: placed.map(([target, flat]) => ({target, parts: partsOf(flat)})),
  };
}

function unpackSafely(bytes: Buffer): unknown {
  try {
    return unpack(bytes) as unknown;
  } catch {
    // Foreign bytes; the caller counts the message as unreadable.
    return undefined;
  }
}

function partsOf(flat: (string | number)[]) {
  const parts: {id: string; tokens: number}[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    parts.push({id: String(flat[i]), tokens: Number(flat[i + 1])});
  }
  return parts;
}

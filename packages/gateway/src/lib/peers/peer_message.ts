/** What an instance tells its group, many times a second, as one datagram. */
import {pack} from 'msgpackr';
import {MESSAGE_KIND, messageRowsOf, wireOfRows} from './wire_rows.js';

import type {TargetListStamp} from '../ports.js';
import type {LoadRow} from '../state/load_totals.js';
import type {MessageRows, WireRows} from './wire_rows.js';

/** Service of one customer since the sender's start, in weighted tokens. */
export interface UseRow {
  readonly customer: string;
  readonly requested: number;
  readonly admitted: number;
}

/** A prompt that was sent to a target since the last message. */
export interface PlacedRow {
  readonly target: string;
  readonly parts: readonly {readonly id: string; readonly tokens: number}[];
  /** Whether the target did not keep its shared parts before. */
  readonly isNew: boolean;
}

/** @public */
export interface PeerMessage extends MessageRows {
  readonly instance: string;
  /** Differs in each life of the sender. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly leaving: boolean;
  readonly targets: TargetListStamp;
  /** All targets at which the sender has work. */
  readonly loads: readonly LoadRow[];
}

type Wire = [
  kind: number,
  instance: string,
  incarnation: number,
  sequence: number,
  leaving: boolean,
  targetsKey: number,
  targetsAgeMs: number,
  ...rows: WireRows,
];

/** @public */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const wire: Wire = [
    MESSAGE_KIND.peer,
    message.instance,
    message.incarnation,
    message.sequence,
    message.leaving,
    message.targets.key,
    Math.round(message.targets.ageMs),
    ...wireOfRows(message),
  ];
  return pack(wire);
}

/** The message of such elements; undefined where they are broken. @public */
export function decodePeerMessage(
  wire: readonly unknown[]
): PeerMessage | undefined {
  const [, instance, incarnation, sequence, leaving, key, ageMs] =
    wire as unknown as Wire;
  const rows = messageRowsOf(wire, 7);
  if (typeof instance !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  if (rows === undefined) return undefined;
  return {
    instance,
    incarnation,
    sequence,
    leaving,
    targets: {key, ageMs},
    ...rows,
  };
}

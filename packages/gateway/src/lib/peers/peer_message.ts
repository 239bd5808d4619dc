import {pack} from 'msgpackr';
import {MESSAGE_KIND, decodeRows, encodeRows, isAmount} from './wire_rows.js';

import type {TargetListStamp} from '../ports.js';
import type {LoadRow} from '../state/load_totals.js';
import type {MessageRows, WireRows} from './wire_rows.js';

/**
 * A total or an increment of a customer's usage, in the unit of its pool.
 *
 * @public
 */
export interface UsageRow {
  /** The usage pool, see `ENGINE_POOL`. */
  readonly pool: string;
  readonly customer: string;
  readonly requested: number;
  readonly admitted: number;
}

/** A prompt that was sent to a target since the last message. @public */
export interface PlacementRow {
  readonly target: string;
  /** The prefix blocks of the prompt, in order. */
  readonly blocks: readonly {readonly id: string; readonly tokens: number}[];
  /** Whether a shared block was missing in the target's prefix cache. */
  readonly isCacheMiss: boolean;
}

/**
 * What an instance sends to each of its direct peers several times a second,
 * as one datagram.
 *
 * @public
 */
export interface PeerDatagram extends MessageRows {
  readonly instance: string;
  /** Differs after each restart of the sender. */
  readonly incarnation: number;
  /** Grows with each message of an incarnation. */
  readonly sequence: number;
  /** Whether the sender is shutting down. */
  readonly leaving: boolean;
  /** The target list that the sender read from the store. */
  readonly targetList: TargetListStamp;
  /** Era of the store that the sender knows; 0 if the store has no eras. */
  readonly storeEra: number;
  /** Version of the configuration that the sender holds; 0 without one. */
  readonly configVersion: number;
  /** Whether that version was confirmed as the newest in this era of the store. */
  readonly isConfigConfirmed: boolean;
  /** The sender's monotonic clock; undefined if it is an older version. */
  readonly sentAtMs: number | undefined;
  /** The sender's load at every target where it has any. */
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
  storeEra: number,
  configVersion: number,
  /** -1 if it is not known. */
  targetsNext: number,
  sentAtMs: number,
  isConfigConfirmed: boolean,
];

/** Index of the first row list of a message. */
const ROWS_INDEX = 7;
/** Index of the store's era, after the four row lists. */
const STORE_ERA_INDEX = ROWS_INDEX + 4;

/** @public */
export function encodePeerMessage(message: PeerDatagram): Buffer {
  const wire: Wire = [
    MESSAGE_KIND.peer,
    message.instance,
    message.incarnation,
    message.sequence,
    message.leaving,
    message.targetList.key,
    Math.round(message.targetList.ageMs),
    ...encodeRows(message),
    message.storeEra,
    message.configVersion,
    message.targetList.next ?? -1,
    Math.round(message.sentAtMs ?? 0),
    message.isConfigConfirmed,
  ];
  return pack(wire);
}

/** Returns undefined if the message is malformed. @public */
export function decodePeerMessage(
  wire: readonly unknown[]
): PeerDatagram | undefined {
  const [, instance, incarnation, sequence, leaving, key, ageMs] =
    wire as unknown as Wire;
  const [
    storeEra = 0,
    configVersion = 0,
    next = -1,
    sentAtMs,
    isConfigConfirmed,
  ] = wire.slice(STORE_ERA_INDEX);
  const rows = decodeRows(wire, ROWS_INDEX);
  if (typeof instance !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  if (![incarnation, sequence, key, ageMs].every(isAmount)) return undefined;
  if (typeof storeEra !== 'number' || typeof configVersion !== 'number') {
    return undefined;
  }
  if (rows === undefined) return undefined;
  return {
    instance,
    incarnation,
    sequence,
    leaving,
    targetList: {key, ageMs, next: isOffset(next) ? next : undefined},
    storeEra,
    configVersion,
    isConfigConfirmed: isConfigConfirmed === true,
    sentAtMs: typeof sentAtMs === 'number' ? sentAtMs : undefined,
    ...rows,
  };
}

function isOffset(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

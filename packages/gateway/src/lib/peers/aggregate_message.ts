import {pack} from 'msgpackr';
import {MESSAGE_KIND, decodeRows, encodeRows, isAmount} from './wire_rows.js';

import type {MessageRows, WireRows} from './wire_rows.js';

/** Which groups an aggregate covers. @public */
export const AGGREGATE_SCOPE = {
  /** The sender's group; sent to the other relays. */
  group: 'group',
  /** All groups but the sender's; sent to the members of its group. */
  rest: 'rest',
} as const;

/** @public */
export type AggregateScope =
  (typeof AGGREGATE_SCOPE)[keyof typeof AGGREGATE_SCOPE];

/** Totals over one or more groups, sent by a relay. @public */
export interface AggregateMessage extends MessageRows {
  readonly scope: AggregateScope;
  /** The sender. */
  readonly instance: string;
  /** Differs after each restart of the sender. */
  readonly incarnation: number;
  /** Grows with each message of an incarnation. */
  readonly sequence: number;
  /** Index of the sender's group. */
  readonly group: number;
  /** Number of instances in the covered groups that accept requests. */
  readonly instanceCount: number;
  /**
   * Whether all targets with load are included, not only changed ones; any
   * other target then has no load.
   */
  readonly isFull: boolean;
}

type Wire = [
  kind: number,
  scope: AggregateScope,
  instance: string,
  incarnation: number,
  sequence: number,
  group: number,
  instanceCount: number,
  isFull: boolean,
  ...rows: WireRows,
];

/** @public */
export function encodeAggregate(message: AggregateMessage): Buffer {
  const wire: Wire = [
    MESSAGE_KIND.aggregate,
    message.scope,
    message.instance,
    message.incarnation,
    message.sequence,
    message.group,
    message.instanceCount,
    message.isFull,
    ...encodeRows(message),
  ];
  return pack(wire);
}

/** Returns undefined if the message is malformed. @public */
export function decodeAggregate(
  wire: readonly unknown[]
): AggregateMessage | undefined {
  const [, scope, instance, incarnation, sequence] = wire as unknown as Wire;
  const [, , , , , group, instanceCount, isFull] = wire as unknown as Wire;
  const rows = decodeRows(wire, 8);
  if (typeof instance !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  const amounts = [incarnation, sequence, group, instanceCount];
  if (!amounts.every(isAmount)) return undefined;
  if (rows === undefined) return undefined;
  return {
    scope,
    instance,
    incarnation,
    sequence,
    group,
    instanceCount,
    isFull,
    ...rows,
  };
}

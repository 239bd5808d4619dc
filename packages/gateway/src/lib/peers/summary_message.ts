/** What relays tell: the sums of a group, or of all groups but one. */
import {pack} from 'msgpackr';
import {MESSAGE_KIND, messageRowsOf, wireOfRows} from './wire_rows.js';

import type {MessageRows, WireRows} from './wire_rows.js';

/** @public */
export const SUMMARY_SCOPE = {
  /** The sender's group, told to other relays. */
  group: 'group',
  /** All groups but the sender's, told to its members. */
  rest: 'rest',
} as const;

/** @public */
export type SummaryScope = (typeof SUMMARY_SCOPE)[keyof typeof SUMMARY_SCOPE];

/** @public */
export interface SummaryMessage extends MessageRows {
  readonly scope: SummaryScope;
  readonly instance: string;
  /** Differs in each life of the sender. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Index of the sender's group. */
  readonly group: number;
  /** Instances that the sums cover and that take requests. */
  readonly serving: number;
  /** Whether targets that are not named have no work. */
  readonly isFull: boolean;
}

type Wire = [
  kind: number,
  scope: SummaryScope,
  instance: string,
  incarnation: number,
  sequence: number,
  group: number,
  serving: number,
  isFull: boolean,
  ...rows: WireRows,
];

/** @public */
export function encodeSummary(message: SummaryMessage): Buffer {
  const wire: Wire = [
    MESSAGE_KIND.summary,
    message.scope,
    message.instance,
    message.incarnation,
    message.sequence,
    message.group,
    message.serving,
    message.isFull,
    ...wireOfRows(message),
  ];
  return pack(wire);
}

/** The message of such elements; undefined where they are broken. @public */
export function decodeSummary(
  wire: readonly unknown[]
): SummaryMessage | undefined {
  const [, scope, instance, incarnation, sequence] = wire as unknown as Wire;
  const [, , , , , group, serving, isFull] = wire as unknown as Wire;
  const rows = messageRowsOf(wire, 8);
  if (typeof instance !== 'string' || typeof sequence !== 'number') {
    return undefined;
  }
  if (rows === undefined) return undefined;
  return {
    scope,
    instance,
    incarnation,
    sequence,
    group,
    serving,
    isFull,
    ...rows,
  };
}

import {ENGINE_POOL} from '@applebend/routing';
import {isBoundedMsgpack} from '@applebend/utils';
import {unpack} from 'msgpackr';
import {decodeNotice, encodeNotice} from './notice_codec.js';

import type {LoadRow} from '../state/load_totals.js';
import type {PlacementRow, UsageRow} from './peer_message.js';
import type {Notice} from './notice.js';
import type {WireNotice} from './notice_codec.js';

/**
 * The first element of each message: its type and format version. Messages are
 * arrays without field names, which keeps the datagrams small.
 *
 * @public
 */
export const MESSAGE_KIND = {
  peer: 3,
  aggregate: 4,
  confirmationRequest: 5,
  confirmationResponse: 6,
  confirmationRefusal: 7,
} as const;

/** Rows with longer names are left out, so that a kept row stays small. */
const MAX_NAME_CHARS = 256;

type WireLoad = [
  target: string,
  running: number,
  prefillTokens: number,
  kvTokens: number,
];
/** The pool is left out if it is that of the model engines. */
type WireUsage =
  | [customer: string, requested: number, admitted: number]
  | [customer: string, requested: number, admitted: number, pool: string];
/** `blocks` holds the id and the tokens of each block in turn. */
type WirePlacement = [
  target: string,
  blocks: (string | number)[],
  isCacheMiss: boolean,
];

/** The rows at the end of each peer message and each aggregate. @public */
export interface MessageRows {
  readonly loads: readonly LoadRow[];
  /** Totals since the sender's start, of customers whose totals changed. */
  readonly usage: readonly UsageRow[];
  readonly placements: readonly PlacementRow[];
  readonly notices: readonly Notice[];
}

/** The same rows as they stand in a message. @public */
export type WireRows = [
  loads: WireLoad[],
  usage: WireUsage[],
  placements: WirePlacement[],
  notices: WireNotice[],
];

/**
 * Returns the elements of a message, its kind first, or undefined if the bytes
 * are not a message.
 *
 * @public
 */
export function unpackMessage(bytes: Buffer): unknown[] | undefined {
  if (!isBoundedMsgpack(bytes)) return undefined;
  try {
    const wire = unpack(bytes) as unknown;
    return Array.isArray(wire) ? wire : undefined;
  } catch {
    // Not MessagePack; the caller logs the message as malformed.
    return undefined;
  }
}

/** Encodes rows; token counts are rounded to integers. @public */
export function encodeRows(rows: MessageRows): WireRows {
  return [
    rows.loads.map(encodeLoad),
    rows.usage.map(encodeUsage),
    rows.placements.map(encodePlacement),
    rows.notices.map(encodeNotice),
  ];
}

/**
 * Returns the rows of a message, or undefined if they are malformed.
 *
 * @param from - index of the first row list
 * @public
 */
export function decodeRows(
  wire: readonly unknown[],
  from: number
): MessageRows | undefined {
  const [loads, usage, placements, notices = []] = wire.slice(from);
  if (!isListOf(loads, isWireLoad)) return undefined;
  if (!isListOf(usage, isWireUsage)) return undefined;
  if (!isListOf(placements, isWirePlacement)) return undefined;
  if (!isListOf(notices, Array.isArray)) return undefined;
  return {
    loads: loads.map(decodeLoad),
    usage: usage.map(decodeUsage).filter(hasShortNames),
    placements: placements.map(decodePlacement),
    notices: notices.flatMap(wireNotice => decodeNotice(wireNotice) ?? []),
  };
}

function isListOf<T>(
  value: unknown,
  isRow: (row: unknown) => row is T
): value is T[] {
  return Array.isArray(value) && value.every(isRow);
}

function isWireLoad(row: unknown): row is WireLoad {
  if (!Array.isArray(row)) return false;
  const [target, ...amounts] = row as unknown[];
  return typeof target === 'string' && areNumbers(amounts, 3);
}

function isWireUsage(row: unknown): row is WireUsage {
  if (!Array.isArray(row)) return false;
  const [customer, requested, admitted, pool = ENGINE_POOL] = row as unknown[];
  const areNames = typeof customer === 'string' && typeof pool === 'string';
  return areNames && areNumbers([requested, admitted], 2);
}

function isWirePlacement(row: unknown): row is WirePlacement {
  if (!Array.isArray(row)) return false;
  const [target, blocks] = row as unknown[];
  return typeof target === 'string' && Array.isArray(blocks);
}

function areNumbers(values: readonly unknown[], count: number): boolean {
  const numbers = values.filter(isAmount);
  return values.length === count && numbers.length === count;
}

/** Returns whether a value is a number other than NaN. @public */
export function isAmount(value: unknown): boolean {
  return typeof value === 'number' && !Number.isNaN(value);
}

function encodeLoad(row: LoadRow): WireLoad {
  const {target, running, prefillTokens, kvTokens} = row;
  return [target, running, Math.round(prefillTokens), Math.round(kvTokens)];
}

function decodeLoad(wire: WireLoad): LoadRow {
  const [target, running, prefillTokens, kvTokens] = wire;
  return {target, running, prefillTokens, kvTokens};
}

function encodeUsage(row: UsageRow): WireUsage {
  const {pool, customer, requested, admitted} = row;
  const totals = [Math.round(requested), Math.round(admitted)] as const;
  return pool === ENGINE_POOL
    ? [customer, ...totals]
    : [customer, ...totals, pool];
}

function decodeUsage(wire: WireUsage): UsageRow {
  const [customer, requested, admitted, pool = ENGINE_POOL] = wire;
  return {pool, customer, requested, admitted};
}

function hasShortNames({pool, customer}: UsageRow): boolean {
  return pool.length <= MAX_NAME_CHARS && customer.length <= MAX_NAME_CHARS;
}

function encodePlacement({
  target,
  blocks,
  isCacheMiss,
}: PlacementRow): WirePlacement {
  return [
    target,
    blocks.flatMap(block => [block.id, block.tokens]),
    isCacheMiss,
  ];
}

function decodePlacement([
  target,
  flat,
  isCacheMiss,
]: WirePlacement): PlacementRow {
  const blocks: {id: string; tokens: number}[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    blocks.push({id: String(flat[i]), tokens: Number(flat[i + 1])});
  }
  return {target, blocks, isCacheMiss};
}

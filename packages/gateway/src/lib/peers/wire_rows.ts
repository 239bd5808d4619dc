import {ENGINE_POOL} from '@applebend/routing';
import {unpack} from 'msgpackr';

import type {LoadRow} from '../state/load_totals.js';
import type {PlacementRow, UsageRow} from './peer_message.js';

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
} as const;

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
}

/** The same rows as they stand in a message. @public */
export type WireRows = [
  loads: WireLoad[],
  usage: WireUsage[],
  placements: WirePlacement[],
];

/**
 * Returns the elements of a message, its kind first, or undefined if the bytes
 * are not a message.
 *
 * @public
 */
export function unpackMessage(bytes: Buffer): unknown[] | undefined {
  try {
    const wire = unpack(bytes) as unknown;
    return Array.isArray(wire) ? wire : undefined;
  } catch {
    // Not MessagePack; the caller logs the message as malformed.
    return undefined;
  }
}

/** Encodes rows; token counts are rounded to integers. @public */
export function encodeRows({loads, usage, placements}: MessageRows): WireRows {
  return [
    loads.map(encodeLoad),
    usage.map(encodeUsage),
    placements.map(encodePlacement),
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
  const [loads, usage, placements] = wire.slice(from);
  if (!isRowList(loads) || !isRowList(usage) || !isRowList(placements)) {
    return undefined;
  }
  return {
    loads: (loads as WireLoad[]).map(decodeLoad),
    usage: (usage as WireUsage[]).map(decodeUsage),
    placements: (placements as WirePlacement[]).map(decodePlacement),
  };
}

function isRowList(value: unknown): value is unknown[][] {
  return Array.isArray(value) && value.every(row => Array.isArray(row));
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

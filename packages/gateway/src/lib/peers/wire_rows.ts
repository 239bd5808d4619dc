/** Rows of messages between instances, without field names to keep them small. */
import {unpack} from 'msgpackr';

import type {LoadRow} from '../state/load_totals.js';
import type {PlacedRow, UseRow} from './peer_message.js';

/** First element of each message: what it is, and in which version. @public */
export const MESSAGE_KIND = {
  peer: 3,
  summary: 4,
  ask: 5,
  answer: 6,
} as const;

type WireLoad = [
  target: string,
  running: number,
  prefillTokens: number,
  kvTokens: number,
];
type WireUse = [customer: string, asked: number, given: number];
type WirePlaced = [target: string, parts: (string | number)[], isNew: boolean];

/** The rows that every message of state ends with. @public */
export interface MessageRows {
  readonly loads: readonly LoadRow[];
  readonly uses: readonly UseRow[];
  readonly placed: readonly PlacedRow[];
}

/** The same rows as the last elements of a message. @public */
export type WireRows = [
  loads: WireLoad[],
  uses: WireUse[],
  placed: WirePlaced[],
];

/** The elements of a message, its kind first; undefined for foreign bytes. @public */
export function unpackMessage(bytes: Buffer): unknown[] | undefined {
  try {
    const wire = unpack(bytes) as unknown;
    return Array.isArray(wire) ? wire : undefined;
  } catch {
    // Foreign bytes; the caller logs the message as unreadable.
    return undefined;
  }
}

/** @public */
export function wireOfRows({loads, uses, placed}: MessageRows): WireRows {
  return [loads.map(wireOfLoad), uses.map(wireOfUse), placed.map(wireOfPlaced)];
}

/**
 * The rows of a message; undefined where they are broken.
 *
 * @param from - index of the first list
 * @public
 */
export function messageRowsOf(
  wire: readonly unknown[],
  from: number
): MessageRows | undefined {
  const [loads, uses, placed] = wire.slice(from);
  if (!isRowList(loads) || !isRowList(uses) || !isRowList(placed)) {
    return undefined;
  }
  return {
    loads: (loads as WireLoad[]).map(loadRowOf),
    uses: (uses as WireUse[]).map(useRowOf),
    placed: (placed as WirePlaced[]).map(placedRowOf),
  };
}

function isRowList(value: unknown): value is unknown[][] {
  return Array.isArray(value) && value.every(row => Array.isArray(row));
}

function wireOfLoad(row: LoadRow): WireLoad {
  const {target, running, prefillTokens, kvTokens} = row;
  return [target, running, Math.round(prefillTokens), Math.round(kvTokens)];
}

function loadRowOf(wire: WireLoad): LoadRow {
  const [target, running, prefillTokens, kvTokens] = wire;
  return {target, running, prefillTokens, kvTokens};
}

function wireOfUse({customer, requested, admitted}: UseRow): WireUse {
  return [customer, Math.round(requested), Math.round(admitted)];
}

function useRowOf([customer, asked, given]: WireUse): UseRow {
  return {customer, requested: asked, admitted: given};
}

function wireOfPlaced({target, parts, isNew}: PlacedRow): WirePlaced {
  return [target, parts.flatMap(part => [part.id, part.tokens]), isNew];
}

function placedRowOf([target, flat, isNew]: WirePlaced): PlacedRow {
  const parts: {id: string; tokens: number}[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    parts.push({id: String(flat[i]), tokens: Number(flat[i + 1])});
  }
  return {target, parts, isNew};
}

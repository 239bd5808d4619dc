/** Rows of messages between instances, without field names to keep them small. */
import {unpack} from 'msgpackr';

import type {LoadRow} from '../state/peer_loads.js';
import type {PlacedRow, UseRow} from './peer_message.js';

/** First element of each message: what it is, and in which version. @public */
export const MESSAGE_KIND = {
  peer: 3,
  summary: 4,
  ask: 5,
  answer: 6,
} as const;

/** @public */
export type WireLoad = [
  target: string,
  running: number,
  prefillTokens: number,
  kvTokens: number,
];
/** @public */
export type WireUse = [customer: string, asked: number, given: number];
/** @public */
export type WirePlaced = [
  target: string,
  parts: (string | number)[],
  isNew: boolean,
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
export function isRowList(value: unknown): value is unknown[][] {
  return Array.isArray(value) && value.every(row => Array.isArray(row));
}

/** @public */
export function wireOfLoad(row: LoadRow): WireLoad {
  const {target, running, prefillTokens, kvTokens} = row;
  return [target, running, Math.round(prefillTokens), Math.round(kvTokens)];
}

/** @public */
export function loadRowOf(wire: WireLoad): LoadRow {
  const [target, running, prefillTokens, kvTokens] = wire;
  return {target, running, prefillTokens, kvTokens};
}

/** @public */
export function wireOfUse({customer, asked, given}: UseRow): WireUse {
  return [customer, Math.round(asked), Math.round(given)];
}

/** @public */
export function useRowOf([customer, asked, given]: WireUse): UseRow {
  return {customer, asked, given};
}

/** @public */
export function wireOfPlaced({target, parts, isNew}: PlacedRow): WirePlaced {
  return [target, parts.flatMap(part => [part.id, part.tokens]), isNew];
}

/** @public */
export function placedRowOf([target, flat, isNew]: WirePlaced): PlacedRow {
  const parts: {id: string; tokens: number}[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    parts.push({id: String(flat[i]), tokens: Number(flat[i + 1])});
  }
  return {target, parts, isNew};
}

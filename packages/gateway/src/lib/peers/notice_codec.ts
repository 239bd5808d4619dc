import {DEPARTURE_KIND} from '@applebend/routing';

import type {
  AttemptKey,
  DepartureKind,
  SharedRun,
  Survival,
} from '@applebend/routing';
import type {Notice} from './notice.js';

/** First element of a notice in a message. */
const NOTICE_CODE = {
  leaving: 1,
  removed: 2,
  pause: 3,
  loss: 4,
  quarantine: 5,
  version: 6,
  streams: 7,
  survivals: 8,
  limit: 9,
  journal_saved: 10,
  refused: 11,
  unresolved: 12,
} as const;

/** A notice as it stands in a message. @public */
export type WireNotice =
  | [code: number, target: string, startedAtMs: number, storeEra: number]
  | [code: number, target: string, pauseMs: number]
  | [code: number, target: string, limitPerS: number]
  | [code: number, target: string, zero: number]
  | [
      code: number,
      target: string,
      seenAtMs: number,
      fingerprint: string,
      hasProgressed: boolean,
      blocks: readonly string[],
    ]
  | [code: number, fingerprint: string, leftMs: number, losses: number]
  | [
      code: number,
      empty: string,
      count: number,
      survivals: [key: string, ageMs: number][],
    ]
  | [
      code: number,
      empty: string,
      count: number,
      runs: [
        target: string,
        fingerprint: string,
        endedAtMs: number,
        hasProgressed: boolean,
      ][],
    ]
  | [code: number, service: string, ageMs: number, version: string]
  | [code: number, version: string, count: number, attempts: AttemptKey[]]
  | [code: number, instance: string, zero: number];

/** @public */
export function encodeNotice(notice: Notice): WireNotice {
  switch (notice.kind) {
    case 'departure': {
      const {kind, target, storeEra} = notice.departure;
      return [NOTICE_CODE[kind], target.id, target.startedAtMs, storeEra];
    }
    case 'pause':
      return [NOTICE_CODE.pause, notice.target, Math.round(notice.pauseMs)];
    case 'limit':
      return [NOTICE_CODE.limit, notice.target, notice.limitPerS];
    case 'loss': {
      const {
        target,
        seenAtMs,
        fingerprint,
        hasProgressed = false,
        blocks = [],
      } = notice.loss;
      return [
        NOTICE_CODE.loss,
        target,
        Math.round(seenAtMs),
        fingerprint,
        hasProgressed,
        blocks,
      ];
    }
    case 'refused':
      return [NOTICE_CODE.refused, notice.target, 0];
    case 'quarantine': {
      const {fingerprint, leftMs, losses} = notice.quarantine;
      return [NOTICE_CODE.quarantine, fingerprint, Math.round(leftMs), losses];
    }
    case 'survivals': {
      const rows = notice.survivals.map(({key, ageMs}): [string, number] => [
        key,
        Math.round(ageMs),
      ]);
      return [NOTICE_CODE.survivals, '', rows.length, rows];
    }
    case 'unresolved': {
      const rows = notice.runs.map(
        ({
          target,
          fingerprint,
          endedAtMs,
          hasProgressed,
        }): [string, string, number, boolean] => [
          target,
          fingerprint,
          Math.round(endedAtMs),
          hasProgressed,
        ]
      );
      return [NOTICE_CODE.unresolved, '', rows.length, rows];
    }
    case 'version': {
      const {service, version, ageMs} = notice.seen;
      return [NOTICE_CODE.version, service, Math.round(ageMs), version];
    }
    case 'streams': {
      const {version, attempts} = notice;
      return [NOTICE_CODE.streams, version, attempts.length, [...attempts]];
    }
    case 'journal_saved':
      return [NOTICE_CODE.journal_saved, notice.instance, 0];
  }
}

/** Decodes the elements after the code; undefined if they are malformed. */
type NoticeDecoder = (
  name: string,
  value: number,
  extra: unknown,
  flag: boolean,
  names: readonly string[]
) => Notice | undefined;

const decodeDeparture =
  (kind: DepartureKind): NoticeDecoder =>
  (id, startedAtMs, storeEra) => {
    if (typeof storeEra !== 'number') return undefined;
    const departure = {kind, target: {id, startedAtMs}, storeEra};
    return {kind: 'departure', departure};
  };

const DECODERS: Readonly<Record<number, NoticeDecoder>> = {
  [NOTICE_CODE.leaving]: decodeDeparture(DEPARTURE_KIND.leaving),
  [NOTICE_CODE.removed]: decodeDeparture(DEPARTURE_KIND.removed),
  [NOTICE_CODE.pause]: (target, pauseMs) => ({kind: 'pause', target, pauseMs}),
  [NOTICE_CODE.limit]: (target, limitPerS) => ({
    kind: 'limit',
    target,
    limitPerS,
  }),
  [NOTICE_CODE.loss]: (
    target,
    seenAtMs,
    fingerprint,
    hasProgressed,
    blocks
  ) => {
    if (typeof fingerprint !== 'string') return undefined;
    const loss = {fingerprint, target, seenAtMs, hasProgressed, blocks};
    return {kind: 'loss', loss};
  },
  [NOTICE_CODE.refused]: target => ({kind: 'refused', target}),
  [NOTICE_CODE.quarantine]: (fingerprint, leftMs, losses) => {
    if (typeof losses !== 'number') return undefined;
    return {kind: 'quarantine', quarantine: {fingerprint, losses, leftMs}};
  },
  [NOTICE_CODE.version]: (service, ageMs, version) => {
    if (typeof version !== 'string') return undefined;
    return {kind: 'version', seen: {service, version, ageMs}};
  },
  [NOTICE_CODE.streams]: (version, _count, attempts) => {
    if (!Array.isArray(attempts)) return undefined;
    const keys = attempts.filter(key => typeof key === 'number');
    return {kind: 'streams', version, attempts: keys};
  },
  [NOTICE_CODE.journal_saved]: instance => ({kind: 'journal_saved', instance}),
  [NOTICE_CODE.survivals]: (_name, _count, rows) => {
    if (!Array.isArray(rows)) return undefined;
    return {kind: 'survivals', survivals: rows.flatMap(decodeSurvival)};
  },
  [NOTICE_CODE.unresolved]: (_name, _count, rows) => {
    if (!Array.isArray(rows)) return undefined;
    return {kind: 'unresolved', runs: rows.flatMap(decodeRun)};
  },
};

/** Returns undefined if the notice is malformed or of an unknown kind. @public */
export function decodeNotice(wire: readonly unknown[]): Notice | undefined {
  const [code, name, value, extra, flag, names] = wire;
  if (typeof code !== 'number' || typeof name !== 'string') return undefined;
  if (typeof value !== 'number') return undefined;
  const strings = decodeStrings(names);
  return DECODERS[code]?.(name, value, extra, flag === true, strings);
}

/** None if the row is malformed. */
function decodeSurvival(row: unknown): Survival[] {
  if (!Array.isArray(row)) return [];
  const [key, ageMs] = row as unknown[];
  if (typeof key !== 'string' || typeof ageMs !== 'number') return [];
  return [{key, ageMs}];
}

/** None if the row is malformed. */
function decodeRun(row: unknown): SharedRun[] {
  if (!Array.isArray(row)) return [];
  const [target, fingerprint, endedAtMs, hasProgressed] = row as unknown[];
  if (typeof target !== 'string' || typeof fingerprint !== 'string') return [];
  if (typeof endedAtMs !== 'number') return [];
  const isAfterEvents = hasProgressed === true;
  return [{target, fingerprint, endedAtMs, hasProgressed: isAfterEvents}];
}

/** The strings of a list; none if it is not a list. */
function decodeStrings(list: unknown): string[] {
  if (!Array.isArray(list)) return [];
  return list.filter(item => typeof item === 'string');
}

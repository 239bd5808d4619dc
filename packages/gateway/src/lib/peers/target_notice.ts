import {DEPARTURE_KIND} from '@applebend/routing';

import type {Departure, DepartureKind} from '@applebend/routing';
import type {TargetDirectory} from '../state/target_directory.js';

/** What an instance tells its peers of a target. @public */
export type TargetNotice =
  | {readonly kind: 'departure'; readonly departure: Departure}
  | {
      readonly kind: 'pause';
      readonly target: string;
      /** Milliseconds for which the target wants no requests. */
      readonly pauseMs: number;
    };

/** Applies what a peer tells of a target. @public */
export function applyNotice(
  notice: TargetNotice,
  targets: TargetDirectory,
  nowMs: number
): void {
  if (notice.kind === 'departure') {
    targets.onDeparture(notice.departure, nowMs);
  } else {
    targets.onPeerPause(notice.target, notice.pauseMs, nowMs);
  }
}

/** First element of a notice in a message. */
const NOTICE_CODE = {leaving: 1, removed: 2, pause: 3} as const;

/** A notice as it stands in a message. @public */
export type WireNotice =
  | [code: number, target: string, startedAtMs: number, storeEra: number]
  | [code: number, target: string, pauseMs: number];

const DEPARTURE_KINDS: Readonly<Record<number, DepartureKind>> = {
  [NOTICE_CODE.leaving]: DEPARTURE_KIND.leaving,
  [NOTICE_CODE.removed]: DEPARTURE_KIND.removed,
};

/** @public */
export function encodeNotice(notice: TargetNotice): WireNotice {
  if (notice.kind === 'pause') {
    return [NOTICE_CODE.pause, notice.target, Math.round(notice.pauseMs)];
  }
  const {kind, target, storeEra} = notice.departure;
  return [NOTICE_CODE[kind], target.id, target.startedAtMs, storeEra];
}

/** Returns undefined if the notice is malformed or of an unknown kind. @public */
export function decodeNotice(
  wire: readonly unknown[]
): TargetNotice | undefined {
  const [code, id, value, storeEra] = wire;
  if (typeof code !== 'number' || typeof id !== 'string') return undefined;
  if (typeof value !== 'number') return undefined;
  if (code === NOTICE_CODE.pause) {
    return {kind: 'pause', target: id, pauseMs: value};
  }
  const kind = DEPARTURE_KINDS[code];
  if (kind === undefined || typeof storeEra !== 'number') return undefined;
  const target = {id, startedAtMs: value};
  return {kind: 'departure', departure: {kind, target, storeEra}};
}

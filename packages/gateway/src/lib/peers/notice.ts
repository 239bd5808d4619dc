import {DEPARTURE_KIND} from '@applebend/routing';

import type {
  AttemptKey,
  Departure,
  DepartureKind,
  Quarantine,
  SeenVersion,
  TargetLoss,
} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';

/** What an instance tells its peers of a target, a request or streams. @public */
export type Notice =
  | {readonly kind: 'departure'; readonly departure: Departure}
  | {
      readonly kind: 'pause';
      readonly target: string;
      /** Milliseconds for which the target wants no requests. */
      readonly pauseMs: number;
    }
  | {readonly kind: 'loss'; readonly loss: TargetLoss}
  | {readonly kind: 'quarantine'; readonly quarantine: Quarantine}
  | {readonly kind: 'version'; readonly seen: SeenVersion}
  | {
      readonly kind: 'streams';
      /** Software version to which the attempts were sent. */
      readonly version: string;
      readonly attempts: readonly AttemptKey[];
    };

/** The state that notices change. @public */
export type NoticedState = Pick<
  FleetState,
  'targets' | 'crashGuard' | 'streamVersions'
>;

/** Applies what a peer tells. @public */
export function applyNotice(
  notice: Notice,
  {targets, crashGuard, streamVersions}: NoticedState,
  nowMs: number
): void {
  switch (notice.kind) {
    case 'departure':
      targets.onDeparture(notice.departure, nowMs);
      return;
    case 'pause':
      targets.onPeerPause(notice.target, notice.pauseMs, nowMs);
      return;
    case 'loss':
      crashGuard.onPeerLoss(notice.loss);
      return;
    case 'quarantine':
      crashGuard.onQuarantine(notice.quarantine);
      return;
    case 'version':
      targets.versions.add(notice.seen, nowMs);
      return;
    case 'streams':
      for (const attempt of notice.attempts) {
        streamVersions.add(attempt, notice.version, nowMs);
      }
  }
}

/** What a peer that starts has to be told. @public */
export function noticesForStart(
  {targets, crashGuard}: NoticedState,
  nowMs: number
): Notice[] {
  const notices: Notice[] = [];
  for (const departure of targets.recentDepartures(nowMs)) {
    notices.push({kind: 'departure', departure});
  }
  for (const seen of targets.versions.recent(nowMs)) {
    notices.push({kind: 'version', seen});
  }
  for (const quarantine of crashGuard.quarantines()) {
    notices.push({kind: 'quarantine', quarantine});
  }
  for (const loss of crashGuard.suspectedLosses()) {
    notices.push({kind: 'loss', loss});
  }
  return notices;
}

/** First element of a notice in a message. */
const NOTICE_CODE = {
  leaving: 1,
  removed: 2,
  pause: 3,
  loss: 4,
  quarantine: 5,
  version: 6,
  streams: 7,
} as const;

/** A notice as it stands in a message. @public */
export type WireNotice =
  | [code: number, target: string, startedAtMs: number, storeEra: number]
  | [code: number, target: string, pauseMs: number]
  | [
      code: number,
      target: string,
      seenAtMs: number,
      fingerprint: string,
      hasProgressed: boolean,
    ]
  | [code: number, fingerprint: string, leftMs: number, losses: number]
  | [code: number, service: string, ageMs: number, version: string]
  | [code: number, version: string, count: number, attempts: AttemptKey[]];

/** @public */
export function encodeNotice(notice: Notice): WireNotice {
  switch (notice.kind) {
    case 'departure': {
      const {kind, target, storeEra} = notice.departure;
      return [NOTICE_CODE[kind], target.id, target.startedAtMs, storeEra];
    }
    case 'pause':
      return [NOTICE_CODE.pause, notice.target, Math.round(notice.pauseMs)];
    case 'loss': {
      const {
        target,
        seenAtMs,
        fingerprint,
        hasProgressed = false,
      } = notice.loss;
      const atMs = Math.round(seenAtMs);
      return [NOTICE_CODE.loss, target, atMs, fingerprint, hasProgressed];
    }
    case 'quarantine': {
      const {fingerprint, leftMs, losses} = notice.quarantine;
      return [NOTICE_CODE.quarantine, fingerprint, Math.round(leftMs), losses];
    }
    case 'version': {
      const {service, version, ageMs} = notice.seen;
      return [NOTICE_CODE.version, service, Math.round(ageMs), version];
    }
    case 'streams': {
      const {version, attempts} = notice;
      return [NOTICE_CODE.streams, version, attempts.length, [...attempts]];
    }
  }
}

/** Decodes the elements after the code; undefined if they are malformed. */
type NoticeDecoder = (
  name: string,
  value: number,
  extra: unknown,
  flag: boolean
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
  [NOTICE_CODE.loss]: (target, seenAtMs, fingerprint, hasProgressed) => {
    if (typeof fingerprint !== 'string') return undefined;
    const loss = {fingerprint, target, seenAtMs, hasProgressed};
    return {kind: 'loss', loss};
  },
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
};

/** Returns undefined if the notice is malformed or of an unknown kind. @public */
export function decodeNotice(wire: readonly unknown[]): Notice | undefined {
  const [code, name, value, extra, flag] = wire;
  if (typeof code !== 'number' || typeof name !== 'string') return undefined;
  if (typeof value !== 'number') return undefined;
  return DECODERS[code]?.(name, value, extra, flag === true);
}

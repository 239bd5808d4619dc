import type {
  AttemptKey,
  Survival,
  Departure,
  Quarantine,
  SeenVersion,
  SharedRun,
  TargetLoss,
} from '@applebend/routing';
import type {CrashGuard} from '../crash/crash_guard.js';
import type {FleetState} from '../state/fleet_state.js';

/** What an instance tells its peers of targets, requests or streams. @public */
export type Notice =
  | {readonly kind: 'departure'; readonly departure: Departure}
  | {
      readonly kind: 'pause';
      readonly target: string;
      /** Milliseconds for which the target wants no requests. */
      readonly pauseMs: number;
    }
  | {
      readonly kind: 'limit';
      readonly target: string;
      /** Requests a second from all instances; Infinity if a limit ended. */
      readonly limitPerS: number;
    }
  | {readonly kind: 'loss'; readonly loss: TargetLoss}
  | {
      /** The target is lost: it refused a connection, or was replaced. */
      readonly kind: 'refused';
      /** As `incarnationOf` names it. */
      readonly target: string;
    }
  | {readonly kind: 'quarantine'; readonly quarantine: Quarantine}
  | {readonly kind: 'survivals'; readonly survivals: readonly Survival[]}
  | {readonly kind: 'unresolved'; readonly runs: readonly SharedRun[]}
  | {readonly kind: 'version'; readonly seen: SeenVersion}
  | {
      readonly kind: 'streams';
      /** Software version to which the attempts were sent. */
      readonly version: string;
      readonly attempts: readonly AttemptKey[];
    }
  | {
      readonly kind: 'journal_saved';
      /** The instance that appended a record to the version journal. */
      readonly instance: string;
    };

/** The state that notices change. @public */
export type NoticedState = Pick<
  FleetState,
  'targets' | 'crashGuard' | 'addStream' | 'versionJournal'
>;

/** What an instance tells its peers of requests that crash targets. @public */
export type CrashNotice = Extract<
  Notice,
  {kind: 'loss' | 'quarantine' | 'survivals' | 'unresolved'}
>;

/** Applies what a peer tells. @public */
export function applyNotice(
  notice: Notice,
  state: NoticedState,
  nowMs: number
): void {
  const {targets, crashGuard} = state;
  switch (notice.kind) {
    case 'departure':
      targets.onDeparture(notice.departure, nowMs);
      return;
    case 'pause':
      targets.backpressure.onPeerPause(notice.target, notice.pauseMs, nowMs);
      return;
    case 'limit':
      targets.backpressure.onPeerLimit(notice.target, notice.limitPerS, nowMs);
      return;
    case 'refused':
      targets.cold.onLoss(notice.target, nowMs);
      crashGuard.onPeerTargetLost(notice.target);
      return;
    case 'loss':
      targets.cold.onLoss(notice.loss.target, nowMs);
      applyCrashNotice(notice, crashGuard);
      return;
    case 'quarantine':
    case 'survivals':
    case 'unresolved':
      applyCrashNotice(notice, crashGuard);
      return;
    case 'version':
      targets.versions.add(notice.seen, nowMs);
      return;
    case 'streams':
      for (const attempt of notice.attempts) {
        state.addStream(attempt, notice.version, nowMs);
      }
      return;
    case 'journal_saved':
      state.versionJournal.onPeerSaved(notice.instance, nowMs);
  }
}

/** Applies what a peer tells of requests that crash targets. @public */
export function applyCrashNotice(notice: CrashNotice, guard: CrashGuard): void {
  switch (notice.kind) {
    case 'loss':
      guard.onPeerLoss(notice.loss);
      guard.onPeerTargetLost(notice.loss.target);
      return;
    case 'quarantine':
      guard.onQuarantine(notice.quarantine);
      return;
    case 'survivals':
      for (const survival of notice.survivals) guard.onPeerSurvival(survival);
      return;
    case 'unresolved':
      for (const run of notice.runs) guard.onPeerRun(run);
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
  for (const [target, limitPerS] of targets.backpressure.limits(nowMs)) {
    notices.push({kind: 'limit', target, limitPerS});
  }
  for (const target of targets.cold.lost(nowMs)) {
    notices.push({kind: 'refused', target});
  }
  return [...notices, ...crashNoticesForStart(crashGuard)];
}

/** What a peer that starts has to know before it takes a loss for news. @public */
export function crashNoticesForStart(guard: CrashGuard): CrashNotice[] {
  const notices: CrashNotice[] = [];
  for (const quarantine of guard.quarantines()) {
    notices.push({kind: 'quarantine', quarantine});
  }
  const survivals = guard.suspectSurvivals();
  if (survivals.length > 0) notices.push({kind: 'survivals', survivals});
  for (const loss of guard.suspectedLosses()) {
    notices.push({kind: 'loss', loss});
  }
  const runs = guard.recentRuns();
  if (runs.length > 0) notices.push({kind: 'unresolved', runs});
  return notices;
}

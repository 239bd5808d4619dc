import {versionNeedOf} from './stream_version.js';

import type {VersionNeed} from '@applebend/routing';
import type {Clock} from '@applebend/utils';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

/**
 * Longest wait for the journal. It is read in a few calls of some 10 ms, so a
 * longer wait would mean that the store is down.
 */
const MAX_WAIT_MS = 500;

/** @public */
export interface VersionLookupDeps {
  readonly state: FleetState;
  readonly clock: Clock;
}

/** A confirmation passes over up to two relays. */
const MAX_CONFIRMATION_WAIT_MS = 800;

/**
 * Determines where a request may run, and calls back: at once, unless the
 * request resumes a stream that is not known here. It then waits while the
 * journal is still being read, until the list of targets is confirmed, and until
 * what is new in the journal has been read. Returns a function that ends the wait
 * without a call.
 *
 * @public
 */
export function lookUpVersion(
  context: RequestContext,
  deps: VersionLookupDeps,
  onNeed: (need: VersionNeed) => void
): () => void {
  const lookup = VersionLookup.create(context, deps, onNeed);
  lookup.start();
  return () => lookup.end();
}

/** The lookup for one request, which may wait several times. */
class VersionLookup {
  private timer: NodeJS.Timeout | undefined;
  private removeListener = (): void => undefined;
  private hasEnded = false;
  private isListCurrent = false;
  private hasCaughtUp = false;

  private constructor(
    private readonly context: RequestContext,
    private readonly deps: VersionLookupDeps,
    private readonly onNeed: (need: VersionNeed) => void
  ) {}

  static create(
    context: RequestContext,
    deps: VersionLookupDeps,
    onNeed: (need: VersionNeed) => void
  ): VersionLookup {
    return new VersionLookup(context, deps, onNeed);
  }

  start(): void {
    const need = this.currentNeed();
    if (need.kind !== 'pending') {
      this.goOn(need);
      return;
    }
    const onJournal = () => this.goOn(this.currentNeed());
    this.timer = setTimeout(onJournal, MAX_WAIT_MS);
    const {journalReadiness} = this.deps.state;
    this.removeListener = journalReadiness.whenComplete(onJournal);
  }

  end(): void {
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.removeListener();
  }

  private currentNeed(): VersionNeed {
    const {context, isListCurrent} = this;
    const {state, clock} = this.deps;
    return versionNeedOf(context, state, clock.monotonicMs(), isListCurrent);
  }

  /** Decides, or finds out first what the need depends on. */
  private goOn(need: VersionNeed): void {
    if (this.hasEnded) return;
    clearTimeout(this.timer);
    this.removeListener();
    if (need.kind === 'unconfirmed') {
      this.confirmTargets(need);
    } else if (need.kind === 'unknown' && !this.hasCaughtUp) {
      this.catchUp(need);
    } else {
      this.decide(need);
    }
  }

  private confirmTargets(need: VersionNeed): void {
    this.timer = setTimeout(() => this.decide(need), MAX_CONFIRMATION_WAIT_MS);
    void this.deps.state.confirmTargets().then(isCurrent => {
      this.isListCurrent = isCurrent;
      const confirmed = this.currentNeed();
      if (isCurrent) this.goOn(confirmed);
      else this.decide(confirmed);
    });
  }

  /** The stream may have begun at a peer that this instance did not hear. */
  private catchUp(need: VersionNeed): void {
    this.hasCaughtUp = true;
    this.timer = setTimeout(() => this.decide(need), MAX_WAIT_MS);
    const {journalReadiness} = this.deps.state;
    void journalReadiness.catchUp().then(() => this.goOn(this.currentNeed()));
  }

  private decide(need: VersionNeed): void {
    if (this.hasEnded) return;
    this.end();
    this.onNeed(need);
  }
}

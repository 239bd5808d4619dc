import {versionOfRetries} from './stream_version.js';

import type {Target, VersionNeed} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

/** How the version of a resumed stream is known; see `VersionNeed`. @public */
export type ResumedKind = Extract<
  VersionNeed,
  {readonly version: string}
>['kind'];

/**
 * The software version that one request is bound to, once it is: a stream goes
 * on only at the version that began it.
 *
 * @public
 */
export class VersionPin {
  private pinned: string | undefined;
  private resumedKind: ResumedKind | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly state: FleetState
  ) {}

  static create(context: RequestContext, state: FleetState): VersionPin {
    return new VersionPin(context, state);
  }

  /** The only version that may run the request; undefined if any may. */
  get version(): string | undefined {
    return this.pinned;
  }

  /**
   * How the version of the stream that the request resumes is known; undefined if
   * it resumes none.
   */
  get resumed(): ResumedKind | undefined {
    return this.resumedKind;
  }

  /**
   * Binds the request to the version of the stream that it resumes. Returns
   * false if it may not run, because that version is not known.
   */
  onNeed(need: VersionNeed): boolean {
    if (need.kind === 'any') return true;
    if (need.kind !== 'exact' && need.kind !== 'inferred') return false;
    this.pinned = need.version;
    this.resumedKind = need.kind;
    return true;
  }

  /** Called when a stream begins at a target. */
  onBegun(target: Target | undefined): void {
    this.pinned ??= target?.softwareVersion;
  }

  /** Called before the request is sent again after one target. */
  onRetry(target: Target | undefined, nowMs: number): void {
    if (target === undefined) return;
    const {context, state} = this;
    this.pinned ??= versionOfRetries(context, state, target, nowMs);
  }
}

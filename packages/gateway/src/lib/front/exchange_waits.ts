import {whenTargetsCurrent} from './current_targets.js';
import {startResponseTimer} from './deadline_timer.js';
import {lookUpVersion} from './version_lookup.js';

import type {VersionNeed} from '@applebend/routing';
import type {Contain} from '@applebend/utils';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/**
 * What one exchange waits for besides its targets: its deadline, the version of
 * the stream that it resumes, and a recent list of targets. They end together.
 *
 * @public
 */
export class ExchangeWaits {
  private deadlineTimer: NodeJS.Timeout | undefined;
  private cancelLookup: (() => void) | undefined;
  private cancelRefresh: (() => void) | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly deps: ExchangeDeps,
    private readonly contain: Contain
  ) {}

  /** @param contain - wraps all callbacks */
  static create(
    context: RequestContext,
    deps: ExchangeDeps,
    contain: Contain
  ): ExchangeWaits {
    return new ExchangeWaits(context, deps, contain);
  }

  /** Calls back when the response that a target sends at the deadline is late. */
  startDeadline(leftMs: number, onDeadline: () => void): void {
    this.deadlineTimer = startResponseTimer(this.contain(onDeadline), leftMs);
  }

  /** Calls back once it is known where the request may run, or cannot be. */
  whenVersionKnown(onNeed: (need: VersionNeed) => void): void {
    const {context, deps, contain} = this;
    this.cancelLookup = lookUpVersion(context, deps, contain(onNeed));
  }

  /** Calls back once the targets may be chosen by the list that is held. */
  whenTargetsCurrent(next: () => void): void {
    const {deps, contain} = this;
    this.cancelRefresh = whenTargetsCurrent(deps.state, contain(next));
  }

  /** Ends all of them; none calls back after that. */
  end(): void {
    clearTimeout(this.deadlineTimer);
    this.cancelLookup?.();
    this.cancelRefresh?.();
  }
}

import type {Target} from '@applebend/routing';

/** A request that a target was running when its connection broke. @public */
export interface BrokenRun {
  readonly fingerprint: string;
  /** Keys of the blocks of its prompt that other requests may have, too. */
  readonly blocks: readonly string[];
  /**
   * Milliseconds since the first event from that target; undefined if none had
   * arrived.
   */
  readonly writingMs: number | undefined;
}

/** Called with a lost target and the requests that it was running here. */
export type LostListener = (target: Target, runs: readonly BrokenRun[]) => void;

/** A check of a target, and the requests whose connections broke meanwhile. */
interface PendingCheck {
  readonly ended: Promise<void>;
  /** By fingerprint. */
  readonly running: Map<string, BrokenRun>;
}

/**
 * Checks whether targets are lost whose connections broke, once for all requests
 * that were running there.
 *
 * @internal
 */
export class LossChecks {
  /** Checks in progress, by incarnation of a target. */
  private readonly checks = new Map<string, PendingCheck>();

  private constructor(
    private readonly isLost: (target: Target) => Promise<boolean>,
    private readonly onLost: LostListener
  ) {}

  static create(
    isLost: (target: Target) => Promise<boolean>,
    onLost: LostListener
  ): LossChecks {
    return new LossChecks(isLost, onLost);
  }

  /**
   * Called when the connection of a request broke. Resolves when it is known
   * whether the target is lost.
   */
  onReset(target: Target, run: BrokenRun): Promise<void> {
    const key = incarnationOf(target);
    const pending = this.checks.get(key) ?? this.start(target, key);
    const copy = pending.running.get(run.fingerprint);
    // Of two copies of a request, the one that got less far is suspected more.
    const isFirst = copy === undefined || isBehind(run, copy);
    if (isFirst) pending.running.set(run.fingerprint, run);
    return pending.ended;
  }

  private start(target: Target, key: string): PendingCheck {
    const running = new Map<string, BrokenRun>();
    const ended = this.check(target, key, running);
    const pending = {ended, running};
    this.checks.set(key, pending);
    return pending;
  }

  private async check(
    target: Target,
    key: string,
    running: ReadonlyMap<string, BrokenRun>
  ): Promise<void> {
    const isLost = await this.isLost(target);
    this.checks.delete(key);
    if (isLost) this.onLost(target, [...running.values()]);
  }
}

/** Names one incarnation of a target. @internal */
export function incarnationOf({id, startedAtMs}: Target): string {
  return `${id} ${startedAtMs}`;
}

function isBehind(run: BrokenRun, other: BrokenRun): boolean {
  return (run.writingMs ?? -1) < (other.writingMs ?? -1);
}

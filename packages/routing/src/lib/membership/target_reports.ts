import type {Target} from '../config/target.js';

/** What a target wrote of itself in one record. @public */
export interface TargetReport {
  readonly target: Target;
  /** Grows with each report of an incarnation; undefined if it names none. */
  readonly sequence: number | undefined;
}

/** A record of the list of targets. @public */
export interface TargetRecordEntry {
  readonly id: string;
  /** Position of the record among all that were written. */
  readonly offset: number;
  /** Undefined if the record describes no target that can be used. */
  readonly report: TargetReport | undefined;
  /** Whether the record says that the target was removed. */
  readonly isRemoval: boolean;
}

/** Whether a target is kept that is missing, since it may only have expired. */
type KeepsMissing = (id: string) => boolean;

/** A report that was under way for longer is not expected any more. */
const MAX_UNDER_WAY_MS = 10_000;

interface HeldReport {
  readonly startedAtMs: number;
  readonly sequence: number | undefined;
  readonly heardAtMs: number;
  /** The target if it is registered. */
  readonly target: Target | undefined;
  /** Whether it is kept although it was missing in the last list. */
  readonly isMissing: boolean;
  /** Whether it was removed, and not reported twice since. */
  readonly isRemoved: boolean;
  /** Position of its first report since the removal. */
  readonly reportedAgainAt: number | undefined;
}

/**
 * Puts the records of a list of targets in force, newest report first: a write
 * that got no response may be executed seconds later, after newer ones. An older
 * report of an incarnation changes nothing. One that was removed counts as
 * registered again with its second report, because the first may have been
 * under way at the removal. A record that describes no target, or lacks the
 * start that the target's own reports name, is of another writer: the target is
 * out of use until its own next report.
 *
 * @public
 */
export class TargetReports {
  private readonly held = new Map<string, HeldReport>();
  /** Asked with each message of a peer, and changed by reads only. */
  private view = viewOf(this.held);

  private constructor() {}

  static create(): TargetReports {
    return new TargetReports();
  }

  /** The registered targets, with those that are kept although missing. */
  get targets(): readonly Target[] {
    return this.view.targets;
  }

  /** The registered targets that were not missing in the last list. */
  get listedTargets(): readonly Target[] {
    return this.view.listedTargets;
  }

  /** Whether targets are kept that were missing in the last list. */
  get hasMissing(): boolean {
    return this.view.hasMissing;
  }

  /** Whether a registered target said that it is cold. */
  get hasCold(): boolean {
    return this.view.hasCold;
  }

  /** Ids of removed targets that have reported once since. */
  get reportedAgain(): readonly string[] {
    return this.view.reportedAgain;
  }

  /** Number of targets whose last report is kept, registered or not. */
  get heldCount(): number {
    return this.held.size;
  }

  /**
   * Applies records in the order in which they were written. Returns those that
   * are older than what is held, and change nothing.
   *
   * @param keepsMissing - whether removed targets are kept, since they may only
   *     have expired
   */
  onRecords(
    entries: readonly TargetRecordEntry[],
    keepsMissing: boolean,
    nowMs: number
  ): TargetRecordEntry[] {
    return this.applyAll(entries, () => keepsMissing, nowMs);
  }

  /** Applies a whole list, as `onRecords`; a target without a record was removed. */
  onList(
    entries: readonly TargetRecordEntry[],
    keepsMissing: boolean,
    nowMs: number
  ): TargetRecordEntry[] {
    const keeps = this.keptIds(keepsMissing);
    this.removeOthers(new Set(entries.map(({id}) => id)), keeps, nowMs);
    return this.applyAll(entries, keeps, nowMs);
  }

  /** Adopts a list that a peer has put in force. */
  adopt(
    targets: readonly Target[],
    keepsMissing: boolean,
    nowMs: number
  ): void {
    const ids = new Set(targets.map(({id}) => id));
    this.removeOthers(ids, this.keptIds(keepsMissing), nowMs);
    for (const target of targets) {
      const held = this.held.get(target.id);
      const isSame = held?.startedAtMs === target.startedAtMs;
      this.hold(target, isSame ? held.sequence : undefined, nowMs);
    }
    this.onApplied(nowMs);
  }

  /** Only targets that were in use before the list are kept. */
  private keptIds(keepsMissing: boolean): KeepsMissing {
    const ids = new Set(this.targets.map(({id}) => id));
    return id => keepsMissing && ids.has(id);
  }

  private applyAll(
    entries: readonly TargetRecordEntry[],
    keeps: KeepsMissing,
    nowMs: number
  ): TargetRecordEntry[] {
    const older = entries.filter(entry => !this.apply(entry, keeps, nowMs));
    this.onApplied(nowMs);
    return older;
  }

  /** Returns false if the record is older than what is held. */
  private apply(
    {id, report, isRemoval}: TargetRecordEntry,
    keeps: KeepsMissing,
    nowMs: number
  ): boolean {
    const held = this.held.get(id);
    if (report !== undefined && !lacksStart(report, held)) {
      return this.onReport(id, report, nowMs);
    }
    if (held === undefined) return true;
    if (isRemoval && keeps(id)) this.held.set(id, {...held, isMissing: true});
    else this.remove(id, held, isRemoval, nowMs);
    return true;
  }

  private removeOthers(
    ids: ReadonlySet<string>,
    keeps: KeepsMissing,
    nowMs: number
  ): void {
    for (const [id, held] of [...this.held]) {
      if (ids.has(id)) continue;
      if (keeps(id)) this.held.set(id, {...held, isMissing: true});
      else this.remove(id, held, true, nowMs);
    }
  }

  private onReport(id: string, report: TargetReport, nowMs: number): boolean {
    const held = this.held.get(id);
    if (held === undefined) {
      this.hold(report.target, report.sequence, nowMs);
      return true;
    }
    if (isOlder(report, held, nowMs)) return false;
    const {target, sequence} = report;
    const isSame = target.startedAtMs === held.startedAtMs;
    const {isRemoved, reportedAgainAt} = held;
    const isFirst =
      reportedAgainAt === undefined || reportedAgainAt === target.registeredAt;
    if (isSame && isRemoved && isFirst) {
      const reportedAgainAt = target.registeredAt;
      this.held.set(id, {...held, sequence, reportedAgainAt});
    } else this.hold(target, sequence, nowMs);
    return true;
  }

  private hold(
    target: Target,
    sequence: number | undefined,
    nowMs: number
  ): void {
    this.held.set(target.id, {
      startedAtMs: target.startedAtMs,
      sequence,
      heardAtMs: nowMs,
      target,
      isMissing: false,
      isRemoved: false,
      reportedAgainAt: undefined,
    });
  }

  private remove(
    id: string,
    held: HeldReport,
    isRemoval: boolean,
    nowMs: number
  ): void {
    const {heardAtMs, target, isRemoved, reportedAgainAt} = held;
    const isNews = target !== undefined || reportedAgainAt !== undefined;
    this.held.set(id, {
      ...held,
      heardAtMs: isNews ? nowMs : heardAtMs,
      target: undefined,
      isMissing: false,
      isRemoved: isRemoved || isRemoval,
      reportedAgainAt: undefined,
    });
  }

  private onApplied(nowMs: number): void {
    this.evictOld(nowMs);
    this.view = viewOf(this.held);
  }

  private evictOld(nowMs: number): void {
    for (const [id, held] of this.held) {
      const isListed = held.target ?? held.reportedAgainAt;
      if (isListed === undefined && !isUnderWay(held, nowMs)) {
        this.held.delete(id);
      }
    }
  }
}

/** What is asked of the reports that are held. */
interface ReportsView {
  readonly targets: readonly Target[];
  readonly listedTargets: readonly Target[];
  readonly hasMissing: boolean;
  readonly hasCold: boolean;
  readonly reportedAgain: readonly string[];
}

function viewOf(held: ReadonlyMap<string, HeldReport>): ReportsView {
  const targets: Target[] = [];
  const listedTargets: Target[] = [];
  const reportedAgain: string[] = [];
  let hasMissing = false;
  for (const [id, {target, isMissing, reportedAgainAt}] of held) {
    if (reportedAgainAt !== undefined) reportedAgain.push(id);
    hasMissing ||= isMissing;
    if (target === undefined) continue;
    targets.push(target);
    if (!isMissing) listedTargets.push(target);
  }
  const hasCold = targets.some(({coldLeftMs}) => coldLeftMs > 0);
  return {targets, listedTargets, hasMissing, hasCold, reportedAgain};
}

/** Whether reports that were under way when this one was heard may still come. */
function isUnderWay({heardAtMs}: HeldReport, nowMs: number): boolean {
  return nowMs - heardAtMs <= MAX_UNDER_WAY_MS;
}

/** Whether a report names no start though those held of its target do. */
function lacksStart(
  {target}: TargetReport,
  held: HeldReport | undefined
): boolean {
  if (held === undefined || held.startedAtMs === 0) return false;
  return target.startedAtMs === 0;
}

function isOlder(
  {target: {startedAtMs}, sequence}: TargetReport,
  held: HeldReport,
  nowMs: number
): boolean {
  // A target that does not name its start cannot be told from its successor.
  if (startedAtMs === 0 || held.startedAtMs === 0) return false;
  if (!isUnderWay(held, nowMs)) return false;
  if (startedAtMs !== held.startedAtMs) return startedAtMs < held.startedAtMs;
  if (sequence === undefined || held.sequence === undefined) return false;
  return sequence < held.sequence;
}

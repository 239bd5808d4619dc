import {
  indexApiKeys,
  INITIAL_CONFIG_STATE,
  newerConfigState,
  rendezvousPick,
  configSnapshotOf,
  configStateFromSnapshot,
} from '@applebend/core';
import {CONFIG_STREAM, readConfigPage} from '@applebend/externals';
import {sleep} from '@applebend/utils';

import type {ConfigRead, LogService} from '@applebend/externals';
import type {ConfigState, FleetConfig} from '@applebend/core';
import type {Logger, Metrics} from '@applebend/telemetry';

/** @public */
export interface ConfigTaskOptions {
  readonly instance: string;
  readonly log: LogService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly snapshotEveryMs: number;
  /** Instances that may write snapshots, this one included. */
  readonly snapshotCandidates: () => readonly string[];
  /** Requests the configuration state from all peers. */
  readonly requestPeerState: () => void;
  /**
   * Called when the revision changes, when a peer's state arrives, and when the
   * task becomes ready.
   */
  readonly onChange: () => void;
}

const LONG_POLL_MS = 1000;
const RETRY_DELAY_MS = 300;

/**
 * Keeps the configuration in force up to date from the log, or from peers if
 * the log is unavailable. Appends a snapshot to the log from time to time, so
 * that the state survives when retention drops older records.
 *
 * @public
 */
export class ConfigTask {
  private stateValue: ConfigState = INITIAL_CONFIG_STATE;
  private customersByKeyHash: ReadonlyMap<string, string> = new Map();
  private caughtUp = false;
  /** By the log's clock; without a snapshot, the time of the first record. */
  private lastSnapshotAtMs: number | undefined;
  private readonly stopping = new AbortController();

  private constructor(private readonly options: ConfigTaskOptions) {}

  static create(options: ConfigTaskOptions): ConfigTask {
    return new ConfigTask(options);
  }

  get state(): ConfigState {
    return this.stateValue;
  }

  get config(): FleetConfig {
    return this.stateValue.config;
  }

  /** Whether the state was read to the end of the log or sent by a peer. */
  get ready(): boolean {
    return this.caughtUp;
  }

  /** Returns the customer of an API key, or undefined if it is unknown. */
  customerOf(keyHash: string): string | undefined {
    return this.customersByKeyHash.get(keyHash);
  }

  start(): void {
    void this.followLog();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Applies a peer's state if it includes more of the stream than this one. */
  onPeerState(data: unknown): void {
    const state = configStateFromSnapshot(data);
    if (state === undefined) return;
    this.apply(newerConfigState(this.stateValue, state));
    this.caughtUp = true;
    this.options.onChange();
  }

  /** Requests the state from peers if one has a newer revision in force. */
  onPeerRevision(revision: number): void {
    if (revision > this.stateValue.revision) this.options.requestPeerState();
  }

  /** Returns the state in the form used by peers and the log. */
  snapshot(): unknown {
    return configSnapshotOf(this.stateValue);
  }

  private async followLog(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.caughtUp ? LONG_POLL_MS : 0;
      const read = await readConfigPage(
        this.options.log,
        this.stateValue,
        waitMs
      );
      if (read.ok) {
        this.onRead(read.value);
        await this.appendSnapshotIfDue(read.value);
      } else {
        this.options.logger.debug('config_unread', {reason: read.err.kind});
        if (!this.caughtUp) this.options.requestPeerState();
        await sleep(RETRY_DELAY_MS, this.stopping.signal);
      }
    }
  }

  private onRead(read: ConfigRead): void {
    this.apply(newerConfigState(this.stateValue, read.state));
    const {snapshotAtMs, firstRecordAtMs} = read;
    this.lastSnapshotAtMs =
      snapshotAtMs ?? this.lastSnapshotAtMs ?? firstRecordAtMs;
    if (!read.caughtUp || this.caughtUp) return;
    this.caughtUp = true;
    this.options.onChange();
  }

  private apply(next: ConfigState): void {
    const before = this.stateValue.revision;
    this.stateValue = next;
    if (next.revision === before) return;
    this.customersByKeyHash = indexApiKeys(next.config);
    this.options.metrics.configRevision.set(next.revision);
    this.options.logger.info('config_in_force', {revision: next.revision});
    this.options.onChange();
  }

  /**
   * Appends a snapshot if the latest one is too old. Rendezvous hashing selects
   * one writer; any instance appends once the snapshot is overdue. Duplicates
   * are harmless, because a snapshot does not change the state.
   */
  private async appendSnapshotIfDue(read: ConfigRead): Promise<void> {
    const {instance, snapshotCandidates, snapshotEveryMs} = this.options;
    if (!read.caughtUp || this.stateValue.nextOffset === 0) return;
    this.lastSnapshotAtMs ??= read.logNowMs;
    const ageMs = read.logNowMs - this.lastSnapshotAtMs;
    if (ageMs < snapshotEveryMs) return;
    const writer = rendezvousPick('config-snapshot', snapshotCandidates());
    const overdue = ageMs > 2 * snapshotEveryMs;
    if (writer !== instance && !overdue) return;
    const appended = await this.options.log.append(
      CONFIG_STREAM,
      configSnapshotOf(this.stateValue)
    );
    if (appended.ok) this.lastSnapshotAtMs = read.logNowMs;
  }
}

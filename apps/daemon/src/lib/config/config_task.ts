/**
 * Owns the configuration in force. It follows the log, takes the state from a
 * peer while the log is away, and carries the state forward as a snapshot
 * before the log's retention drops the records.
 */
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

/** What the task is made from. @public */
export interface ConfigTaskOptions {
  readonly instance: string;
  readonly log: LogService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly snapshotEveryMs: number;
  /** Members that could carry the snapshot, this instance included. */
  readonly snapshotCandidates: () => readonly string[];
  /** Asks all peers for their state. */
  readonly requestPeerState: () => void;
  readonly onChange: () => void;
}

const READ_POLL_MS = 1000;
const RETRY_DELAY_MS = 300;

/** @public */
export class ConfigTask {
  private stateValue: ConfigState = INITIAL_CONFIG_STATE;
  private customersByKeyHash: ReadonlyMap<string, string> = new Map();
  private caughtUp = false;
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

  /** Whether the state is at least what the log or a peer has shown. */
  get ready(): boolean {
    return this.caughtUp;
  }

  /** The customer that a key's hash belongs to. */
  customerOf(keyHash: string): string | undefined {
    return this.customersByKeyHash.get(keyHash);
  }

  start(): void {
    void this.followLog();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Takes over a peer's state when it is later than this one's. */
  onPeerState(data: unknown): void {
    const state = configStateFromSnapshot(data);
    if (state === undefined) return;
    this.apply(newerConfigState(this.stateValue, state));
    this.caughtUp = true;
    this.options.onChange();
  }

  /** Asks for the state when a peer has a later revision in force. */
  onPeerRevision(revision: number): void {
    if (revision > this.stateValue.revision) this.options.requestPeerState();
  }

  /** The state as peers and the log carry it. */
  snapshot(): unknown {
    return configSnapshotOf(this.stateValue);
  }

  private async followLog(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.caughtUp ? READ_POLL_MS : 0;
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

  /** Several carriers at once do no harm: a snapshot changes no state. */
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

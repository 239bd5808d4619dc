/**
 * The relay's part in a fleet of several groups: tells other relays the sums
 * of its own group, and its group the sums of all others. An instance that is
 * not its group's relay only hears them.
 */
import {RowDiff} from './row_diff.js';
import {SummaryBoard} from './summary_board.js';
import {
  decodeSummary,
  encodeSummary,
  SUMMARY_SCOPE,
} from './summary_message.js';
import {UseLedger} from './use_ledger.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {LoadRow} from '../state/load_totals.js';
import type {PeerBoard} from './peer_board.js';
import type {PeerDirectory} from './peer_directory.js';
import type {PlacedRow, UseRow} from './peer_message.js';
import type {PeerSocket} from './peer_socket.js';
import type {SummaryMessage, SummaryScope} from './summary_message.js';

/** Sums are told this often, the less often the more relays there are. */
const MIN_PERIOD_MS = 40;
const PERIOD_PER_GROUP_MS = 4;
/** All rows, and not only the changed ones, are told this often. */
const FULL_MS = 500;
const MAX_PLACED = 60;

/** @public */
export interface SummaryExchangeOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: Logger;
  readonly incarnation: number;
  readonly socket: PeerSocket;
  readonly directory: PeerDirectory;
  readonly board: PeerBoard;
}

/** What is to be told in one scope. */
interface Outbox {
  readonly diff: RowDiff;
  readonly uses: UseLedger;
  placed: PlacedRow[];
}

/** @public */
export class SummaryExchange {
  private readonly summaries: SummaryBoard;
  private readonly outboxes: Readonly<Record<SummaryScope, Outbox>> = {
    group: createOutbox(),
    rest: createOutbox(),
  };
  private sequence = 0;
  private isRelay = false;
  private toldFullAtMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private remoteServing = 0;

  private constructor(private readonly options: SummaryExchangeOptions) {
    this.summaries = SummaryBoard.create(options.state.peerLoads.otherGroups);
    options.socket.handle(MESSAGE_KIND.summary, (wire, from) =>
      this.onSummary(wire, from)
    );
  }

  static create(options: SummaryExchangeOptions): SummaryExchange {
    return new SummaryExchange(options);
  }

  start(): void {
    const periodMs = Math.max(
      MIN_PERIOD_MS,
      PERIOD_PER_GROUP_MS * this.options.directory.groupCount
    );
    this.timer = setTimeout(() => {
      this.tick();
      this.start();
    }, periodMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Notes service at a member of the own group, this instance included. */
  onGroupUse(row: UseRow): void {
    this.outboxes.group.uses.add(row);
  }

  /** Notes a prompt that a member of the own group placed. */
  onGroupPlaced(row: PlacedRow): void {
    if (this.isRelay && row.isNew) keep(this.outboxes.group, row);
  }

  /** Instances of other groups that take requests. */
  sweep(nowMs: number): number {
    this.remoteServing = this.summaries.sweep(nowMs);
    return this.remoteServing;
  }

  /** Whether the own group's relay is this instance. */
  isOwnRelay(nowMs: number): boolean {
    return this.ownRelay(nowMs) === this.options.state.settings.instance;
  }

  private ownRelay(nowMs: number): string | undefined {
    const {directory, board, state} = this.options;
    const {instance} = state.settings;
    const isAlive = (id: string) =>
      id === instance ? !state.isStopping : board.isAlive(id, nowMs);
    return directory.ownRelay(isAlive)?.instance;
  }

  private tick(): void {
    const {directory, clock} = this.options;
    const nowMs = clock.monotonicMs();
    const isRelay = directory.isSplit && this.isOwnRelay(nowMs);
    if (isRelay !== this.isRelay) this.onRoleChange(isRelay);
    if (!isRelay) return;
    const isFull = nowMs - this.toldFullAtMs >= FULL_MS;
    if (isFull) this.toldFullAtMs = nowMs;
    this.tellRelays(isFull, nowMs);
    this.tellGroup(isFull);
  }

  private onRoleChange(isRelay: boolean): void {
    const {log, directory} = this.options;
    this.summaries.clear();
    this.isRelay = isRelay;
    log.info('relay of the group', {isRelay, group: directory.ownGroup});
  }

  private tellRelays(isFull: boolean, nowMs: number): void {
    const {directory, socket} = this.options;
    const {groupInstanceCount: serving, targets} = this.options.state;
    const rows = targets.loadRows(({groupLoad}) => groupLoad);
    const bytes = this.encode(SUMMARY_SCOPE.group, rows, serving, isFull);
    if (bytes === undefined) return;
    for (let group = 0; group < directory.groupCount; group++) {
      if (group === directory.ownGroup) continue;
      const relay = directory.relayAt(group, nowMs);
      if (relay !== undefined) socket.send(bytes, relay);
      else if (isFull) this.sendAll(bytes, directory.membersOf(group));
    }
  }

  private tellGroup(isFull: boolean): void {
    const {directory} = this.options;
    const rows = this.remoteRows();
    const serving = this.remoteServing;
    const bytes = this.encode(SUMMARY_SCOPE.rest, rows, serving, isFull);
    if (bytes !== undefined) this.sendAll(bytes, directory.groupPeers());
  }

  private sendAll(bytes: Buffer, addresses: readonly PeerAddress[]): void {
    for (const address of addresses) this.options.socket.send(bytes, address);
  }

  /** The next message of a scope; undefined where nothing has changed. */
  private encode(
    scope: SummaryScope,
    rows: readonly LoadRow[],
    serving: number,
    isFull: boolean
  ): Buffer | undefined {
    const {state, incarnation, directory} = this.options;
    const outbox = this.outboxes[scope];
    const changed = outbox.diff.changed(rows);
    const {placed, uses} = outbox;
    const isNews = changed.length > 0 || placed.length > 0 || uses.hasChanges;
    if (!isFull && !isNews) return undefined;
    outbox.placed = [];
    this.sequence += 1;
    return encodeSummary({
      scope,
      instance: state.settings.instance,
      incarnation,
      sequence: this.sequence,
      group: directory.ownGroup,
      serving,
      isFull,
      loads: isFull ? rows : changed,
      uses: uses.takeChanged(),
      placed,
    });
  }

  private remoteRows(): LoadRow[] {
    const {otherGroups} = this.options.state.peerLoads;
    const rows: LoadRow[] = [];
    for (const target of otherGroups.targets()) {
      rows.push({target, ...otherGroups.of(target)});
    }
    return rows;
  }

  private onSummary(wire: readonly unknown[], from: PeerAddress): boolean {
    const message = decodeSummary(wire);
    if (message === undefined) return false;
    const {clock, directory} = this.options;
    const nowMs = clock.monotonicMs();
    const isGroup = message.scope === SUMMARY_SCOPE.group;
    if (isGroup) directory.onRelayHeard(message.group, from, nowMs);
    if (this.isMeantForThis(message, nowMs)) this.take(message, nowMs);
    return true;
  }

  /** Relays hear other groups' sums; members only their own relay. */
  private isMeantForThis(message: SummaryMessage, nowMs: number): boolean {
    const {directory} = this.options;
    if (message.scope === SUMMARY_SCOPE.group) {
      return this.isRelay && message.group !== directory.ownGroup;
    }
    return !this.isRelay && message.instance === this.ownRelay(nowMs);
  }

  private take(message: SummaryMessage, nowMs: number): void {
    const {state} = this.options;
    const {rest} = this.outboxes;
    const isNew = this.summaries.onSummary(message, nowMs, row => {
      state.customerShares.add(row.customer, row, nowMs);
      rest.uses.add(row);
    });
    if (!isNew) return;
    for (const row of message.placed) {
      state.targets.get(row.target)?.prefixCache.touch(row.parts);
      if (this.isRelay) keep(rest, row);
    }
  }
}

function createOutbox(): Outbox {
  return {diff: RowDiff.create(), uses: UseLedger.create(), placed: []};
}

function keep(outbox: Outbox, row: PlacedRow): void {
  if (outbox.placed.length < MAX_PLACED) outbox.placed.push(row);
}

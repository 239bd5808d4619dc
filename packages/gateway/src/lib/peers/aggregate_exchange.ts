import {LoadDiff} from './load_diff.js';
import {AggregateTable} from './aggregate_table.js';
import {
  decodeAggregate,
  encodeAggregate,
  AGGREGATE_SCOPE,
} from './aggregate_message.js';
import {MESSAGE_ORDER} from './message_order.js';
import {NoticeOutbox} from './notice_outbox.js';
import {applyNotice, noticesForStart} from './notice.js';
import {UsageCounters} from './usage_counters.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {LoadRow} from '../state/load_totals.js';
import type {PeerTable} from './peer_table.js';
import type {PeerDirectory} from './peer_directory.js';
import type {PlacementRow, UsageRow} from './peer_message.js';
import type {PeerSocket} from './peer_socket.js';
import type {Notice} from './notice.js';
import type {AggregateMessage, AggregateScope} from './aggregate_message.js';

/**
 * Interval between aggregates. It grows with the number of groups, because
 * each relay sends to all other relays.
 */
const MIN_INTERVAL_MS = 40;
const INTERVAL_PER_GROUP_MS = 4;
/** Interval at which an instance that is no relay checks whether it is one now. */
const ROLE_CHECK_INTERVAL_MS = 160;
/**
 * Interval at which all load rows are sent instead of the changed ones, which
 * corrects the load after lost messages.
 */
const FULL_INTERVAL_MS = 500;
/** Limit for one message; further placements are not sent. */
const MAX_PLACEMENTS = 60;

/** @public */
export interface AggregateExchangeOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: Logger;
  /** Differs after each restart of this instance. */
  readonly incarnation: number;
  readonly socket: PeerSocket;
  readonly directory: PeerDirectory;
  readonly peerTable: PeerTable;
}

/** What the next aggregate of one scope has to contain. */
interface Outbox {
  readonly diff: LoadDiff;
  readonly usage: UsageCounters;
  readonly notices: NoticeOutbox;
  placements: PlacementRow[];
}

/**
 * Exchanges aggregates in a fleet of several groups. If this instance is its
 * group's relay, it sends the aggregate of its group to the other relays, and
 * the aggregate of all other groups to its group. Otherwise it only receives
 * the latter.
 *
 * @public
 */
export class AggregateExchange {
  private readonly aggregates: AggregateTable;
  private readonly outboxes: Readonly<Record<AggregateScope, Outbox>> = {
    group: createOutbox(),
    rest: createOutbox(),
  };
  private sequence = 0;
  private isRelay = false;
  private fullSentAtMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  /** Number of instances in other groups that accept requests. */
  private otherGroupInstanceCount = 0;

  private constructor(private readonly options: AggregateExchangeOptions) {
    this.aggregates = AggregateTable.create(
      options.state.peerLoads.otherGroups
    );
    options.socket.handle(MESSAGE_KIND.aggregate, (wire, from) =>
      this.onAggregate(wire, from)
    );
  }

  static create(options: AggregateExchangeOptions): AggregateExchange {
    return new AggregateExchange(options);
  }

  /** Schedules the next tick, by the role and the present number of groups. */
  start(): void {
    this.timer = setTimeout(() => {
      this.tick();
      this.start();
    }, this.intervalMs);
  }

  private get intervalMs(): number {
    if (!this.isRelay) return ROLE_CHECK_INTERVAL_MS;
    const {groupCount} = this.options.directory;
    return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_GROUP_MS * groupCount);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Adds usage at a member of the own group, including this instance. */
  onGroupUsage(row: UsageRow): void {
    this.outboxes.group.usage.add(row);
  }

  /**
   * Adds a placement by a member of the own group. Other groups are sent only
   * those that add blocks to the target's prefix cache.
   */
  onGroupPlacement(row: PlacementRow): void {
    if (this.isRelay && row.isCacheMiss) addPlacement(this.outboxes.group, row);
  }

  /** Passes on what an instance of the own group tells its peers. */
  onGroupNotice(notice: Notice, nowMs: number): void {
    if (this.isRelay) this.outboxes.group.notices.add(notice, nowMs);
  }

  /**
   * Evicts stale aggregates; returns how many instances of other groups accept
   * requests.
   */
  evictStale(nowMs: number): number {
    this.otherGroupInstanceCount = this.aggregates.evictStale(nowMs);
    return this.otherGroupInstanceCount;
  }

  /** Returns whether this instance is its group's relay. */
  isGroupRelay(nowMs: number): boolean {
    return this.groupRelay(nowMs) === this.options.state.settings.instance;
  }

  private groupRelay(nowMs: number): string | undefined {
    const {directory, peerTable, state} = this.options;
    const {instance} = state.settings;
    const isAlive = (id: string) =>
      id === instance ? !state.isStopping : peerTable.isAlive(id, nowMs);
    return directory.ownRelay(isAlive)?.instance;
  }

  private tick(): void {
    const {directory, clock} = this.options;
    const nowMs = clock.monotonicMs();
    const isRelay = directory.hasMultipleGroups && this.isGroupRelay(nowMs);
    if (isRelay !== this.isRelay) this.onRoleChange(isRelay);
    if (!isRelay) return;
    const isFull = nowMs - this.fullSentAtMs >= FULL_INTERVAL_MS;
    if (isFull) this.fullSentAtMs = nowMs;
    this.sendToRelays(isFull, nowMs);
    this.sendToGroup(isFull);
  }

  private onRoleChange(isRelay: boolean): void {
    const {log, directory} = this.options;
    this.aggregates.clear();
    this.isRelay = isRelay;
    log.info('relay role changed', {isRelay, group: directory.ownGroup});
  }

  /**
   * Sends the own group's aggregate to all other relays. Where a relay's
   * address is unknown, full aggregates go to all members of its group.
   */
  private sendToRelays(isFull: boolean, nowMs: number): void {
    const {directory, socket} = this.options;
    const {groupInstanceCount: count, targets} = this.options.state;
    const rows = targets.loadRows(({groupLoad}) => groupLoad);
    const bytes = this.encode(AGGREGATE_SCOPE.group, rows, count, isFull);
    if (bytes === undefined) return;
    for (let group = 0; group < directory.groupCount; group++) {
      if (group === directory.ownGroup) continue;
      const relay = directory.relayAddress(group, nowMs);
      if (relay !== undefined) socket.send(bytes, relay);
      else if (isFull) this.sendAll(bytes, directory.membersOf(group));
    }
  }

  private sendToGroup(isFull: boolean): void {
    const {directory} = this.options;
    const rows = this.otherGroupRows();
    const count = this.otherGroupInstanceCount;
    const bytes = this.encode(AGGREGATE_SCOPE.rest, rows, count, isFull);
    if (bytes !== undefined) this.sendAll(bytes, directory.otherGroupMembers());
  }

  private sendAll(bytes: Buffer, addresses: readonly PeerAddress[]): void {
    for (const address of addresses) this.options.socket.send(bytes, address);
  }

  /**
   * Encodes the next aggregate of a scope; returns undefined if nothing
   * changed since the last one and `isFull` is not set.
   */
  private encode(
    scope: AggregateScope,
    rows: readonly LoadRow[],
    instanceCount: number,
    isFull: boolean
  ): Buffer | undefined {
    const {state, incarnation, directory, clock} = this.options;
    const nowMs = clock.monotonicMs();
    const outbox = this.outboxes[scope];
    const changed = outbox.diff.changedRows(rows);
    const {placements, usage, notices} = outbox;
    const hasChanges =
      changed.length > 0 ||
      placements.length > 0 ||
      usage.hasChanges ||
      notices.isDue(nowMs);
    if (!isFull && !hasChanges) return undefined;
    outbox.placements = [];
    this.sequence += 1;
    return encodeAggregate({
      scope,
      instance: state.settings.instance,
      incarnation,
      sequence: this.sequence,
      group: directory.ownGroup,
      instanceCount,
      isFull,
      loads: isFull ? rows : changed,
      usage: usage.takeChanged(),
      placements,
      notices: notices.take(nowMs),
    });
  }

  private otherGroupRows(): LoadRow[] {
    const {otherGroups} = this.options.state.peerLoads;
    const rows: LoadRow[] = [];
    for (const target of otherGroups.targets()) {
      rows.push({target, ...otherGroups.of(target)});
    }
    return rows;
  }

  private onAggregate(wire: readonly unknown[], from: PeerAddress): boolean {
    const message = decodeAggregate(wire);
    if (message === undefined) return false;
    const {clock, directory} = this.options;
    const nowMs = clock.monotonicMs();
    const isGroup = message.scope === AGGREGATE_SCOPE.group;
    if (isGroup) directory.onRelayMessage(message.group, from, nowMs);
    if (this.isRelevant(message, nowMs)) this.apply(message, nowMs);
    return true;
  }

  /** Relays use aggregates of other groups, members those of their relay. */
  private isRelevant(message: AggregateMessage, nowMs: number): boolean {
    const {directory} = this.options;
    if (message.scope === AGGREGATE_SCOPE.group) {
      return this.isRelay && message.group !== directory.ownGroup;
    }
    return !this.isRelay && message.instance === this.groupRelay(nowMs);
  }

  /** Tells a relay that started what it cannot have heard. */
  private onRelayStarted(nowMs: number): void {
    for (const notice of noticesForStart(this.options.state, nowMs)) {
      this.onGroupNotice(notice, nowMs);
    }
  }

  private apply(message: AggregateMessage, nowMs: number): void {
    const {state} = this.options;
    const {rest} = this.outboxes;
    const order = this.aggregates.onAggregate(message, nowMs, row => {
      state.addPeerUsage(row, nowMs);
      rest.usage.add(row);
    });
    if (order === MESSAGE_ORDER.stale) return;
    if (order === MESSAGE_ORDER.started) this.onRelayStarted(nowMs);
    for (const notice of message.notices) {
      applyNotice(notice, state, nowMs);
      if (this.isRelay) rest.notices.add(notice, nowMs);
    }
    for (const row of message.placements) {
      state.targets.get(row.target)?.prefixCache.touch(row.blocks);
      if (this.isRelay) addPlacement(rest, row);
    }
  }
}

function createOutbox(): Outbox {
  return {
    diff: LoadDiff.create(),
    usage: UsageCounters.create(),
    notices: NoticeOutbox.create(),
    placements: [],
  };
}

function addPlacement(outbox: Outbox, row: PlacementRow): void {
  if (outbox.placements.length < MAX_PLACEMENTS) outbox.placements.push(row);
}

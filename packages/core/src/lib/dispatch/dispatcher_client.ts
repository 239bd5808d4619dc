import {evictOldest} from '@applebend/utils';
import {match} from 'ts-pattern';

import type {
  Announcement,
  DispatcherMessage,
  DispatchRefusalReason,
  EntryMessage,
  HeldSlot,
  ServiceCounter,
  SlotOutcome,
} from './dispatch_types.js';
import type {TokenTimes} from './limit_controller.js';

/** The peer that runs a cell's dispatcher, and the link to it. @public */
export interface DispatcherEndpoint {
  readonly peer: string;
  /** Identifies the link; a reconnected link has a new session. */
  readonly session: number;
}

/** An input of a dispatcher client. @public */
export type DispatcherClientEvent =
  | {
      readonly type: 'set_dispatcher';
      /** The new dispatcher, or undefined if there is none. */
      readonly dispatcher: DispatcherEndpoint | undefined;
      /** Whether the link to the previous dispatcher still works. */
      readonly notifyPrevious: boolean;
    }
  | {readonly type: 'submit'; readonly announcement: Announcement}
  | {readonly type: 'cancel'; readonly requestId: string}
  | {
      readonly type: 'dispatcher_message';
      /** The sender. */
      readonly dispatcher: DispatcherEndpoint;
      readonly message: DispatcherMessage;
    }
  | {
      readonly type: 'progress';
      readonly grantId: string;
      /** Weighted tokens used so far. */
      readonly cost: number;
    }
  | {
      readonly type: 'finish';
      readonly grantId: string;
      readonly outcome: SlotOutcome;
      /** Weighted tokens used in total. */
      readonly cost: number;
      /** Set for a complete response whose token times were measured. */
      readonly times?: TokenTimes | undefined;
    };

/** An action for the caller of a dispatcher client. @public */
export type DispatcherClientCommand =
  | {
      readonly type: 'send';
      readonly dispatcher: DispatcherEndpoint;
      readonly message: EntryMessage;
    }
  | {
      readonly type: 'start';
      readonly requestId: string;
      readonly grantId: string;
      readonly target: string;
      /** No byte may be sent after this time, by the entry's clock. */
      readonly expiresAtMs: number;
    }
  | {
      readonly type: 'refused';
      readonly requestId: string;
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    };

/** A request that holds a granted slot. */
interface HeldRequest {
  readonly announcement: Announcement;
  readonly target: string;
  /** Weighted tokens charged: the estimate, then the cost last reported. */
  charged: number;
}

interface WaitingRequest {
  readonly announcement: Announcement;
  /** When the request started to wait, by the entry's clock. */
  readonly queuedAtMs: number;
}

/** The least increase of a cost to report, as a fraction of the charge. */
const PROGRESS_STEP_FRACTION = 0.25;
/** The least increase of a cost to report, whatever the charge. */
const MIN_PROGRESS_STEP_TOKENS = 64;
/** Bounds the memory for service counters and the size of a `sync`. */
const MAX_SERVICE_COUNTERS = 4096;

/**
 * An entry's client of one cell's dispatcher. It announces the requests that
 * wait at the entry, keeps the granted slots, and sends both to the next
 * dispatcher when the cell's dispatcher changes. It does no I/O: the caller
 * passes events and the time, and carries out the returned commands.
 *
 * @public
 */
export class DispatcherClient {
  private dispatcher: DispatcherEndpoint | undefined;
  /** By request id. */
  private readonly waiting = new Map<string, WaitingRequest>();
  /** By grant id. */
  private readonly held = new Map<string, HeldRequest>();
  /** Customer to its counter on its latest grant, the oldest grant first. */
  private readonly serviceCounters = new Map<string, number>();
  private commands: DispatcherClientCommand[] = [];
  private nowMs = 0;
  private staleGrantCount = 0;

  private constructor(private readonly cell: string) {}

  static create(cell: string): DispatcherClient {
    return new DispatcherClient(cell);
  }

  get waitingCount(): number {
    return this.waiting.size;
  }

  get heldCount(): number {
    return this.held.size;
  }

  /**
   * Grants that were sent back, because the lease had expired or the request
   * no longer waited, and messages that were dropped because they came from a
   * previous dispatcher.
   */
  get staleMessages(): number {
    return this.staleGrantCount;
  }

  get currentDispatcher(): DispatcherEndpoint | undefined {
    return this.dispatcher;
  }

  /** Whether a cost exceeds the charge by enough to be reported. */
  isProgressDue(grantId: string, cost: number): boolean {
    const charged = this.held.get(grantId)?.charged;
    if (charged === undefined) return false;
    const step = Math.max(
      MIN_PROGRESS_STEP_TOKENS,
      charged * PROGRESS_STEP_FRACTION
    );
    return cost >= charged + step;
  }

  /** Handles one event and returns the commands that follow from it. */
  handle(
    event: DispatcherClientEvent,
    nowMs: number
  ): DispatcherClientCommand[] {
    this.nowMs = nowMs;
    this.commands = [];
    match(event)
      .with({type: 'set_dispatcher'}, e =>
        this.setDispatcher(e.dispatcher, e.notifyPrevious)
      )
      .with({type: 'submit'}, e => this.onSubmit(e.announcement))
      .with({type: 'cancel'}, e => this.onCancel(e.requestId))
      .with({type: 'dispatcher_message'}, e =>
        this.onMessage(e.dispatcher, e.message)
      )
      .with({type: 'progress'}, e => this.onProgress(e.grantId, e.cost))
      .with({type: 'finish'}, e => this.onFinish(e))
      .exhaustive();
    return this.commands;
  }

  private setDispatcher(
    dispatcher: DispatcherEndpoint | undefined,
    notifyPrevious: boolean
  ): void {
    const previous = this.dispatcher;
    if (sameEndpoint(previous, dispatcher)) return;
    if (previous !== undefined && notifyPrevious) {
      this.sendTo(previous, {type: 'leave', cell: this.cell});
    }
    this.dispatcher = dispatcher;
    if (dispatcher !== undefined) this.sendTo(dispatcher, this.syncMessage());
  }

  private onSubmit(announcement: Announcement): void {
    const queuedAtMs = this.nowMs - announcement.waitedMs;
    this.waiting.set(announcement.requestId, {announcement, queuedAtMs});
    this.send({type: 'enqueue', cell: this.cell, announcement});
  }

  private onCancel(requestId: string): void {
    if (!this.waiting.delete(requestId)) return;
    this.send({type: 'withdraw', cell: this.cell, requestId});
  }

  private onMessage(
    dispatcher: DispatcherEndpoint,
    message: DispatcherMessage
  ): void {
    if (!sameEndpoint(dispatcher, this.dispatcher)) {
      this.staleGrantCount += 1;
      return;
    }
    match(message)
      .with({type: 'resync'}, () => this.send(this.syncMessage()))
      .with({type: 'grant'}, grant => this.onGrant(grant))
      .with({type: 'refuse'}, refusal => this.onRefuse(refusal))
      .exhaustive();
  }

  private onGrant(grant: Extract<DispatcherMessage, {type: 'grant'}>): void {
    const {requestId, grantId, target} = grant;
    const request = this.waiting.get(requestId);
    if (request === undefined) return this.returnGrant(grantId, 'withdrawn');
    const {announcement} = request;
    this.recordService(announcement.customer, grant.service);
    // `echoMs` was read from this entry's clock, so no clocks are compared.
    const expiresAtMs = grant.echoMs + grant.leaseMs;
    if (this.nowMs > expiresAtMs) return this.returnGrant(grantId, 'returned');
    this.waiting.delete(requestId);
    const charged = announcement.estimate;
    this.held.set(grantId, {announcement, target, charged});
    this.commands.push({
      type: 'start',
      requestId,
      grantId,
      target,
      expiresAtMs,
    });
  }

  private onRefuse(
    refusal: Extract<DispatcherMessage, {type: 'refuse'}>
  ): void {
    const {requestId, reason, retryAfterMs} = refusal;
    if (!this.waiting.delete(requestId)) return;
    this.commands.push({type: 'refused', requestId, reason, retryAfterMs});
  }

  private onProgress(grantId: string, cost: number): void {
    const held = this.held.get(grantId);
    if (held === undefined || !this.isProgressDue(grantId, cost)) return;
    held.charged = cost;
    this.send({type: 'progress', cell: this.cell, grantId, cost});
  }

  private onFinish(
    event: Extract<DispatcherClientEvent, {type: 'finish'}>
  ): void {
    const held = this.held.get(event.grantId);
    if (held === undefined) return;
    this.held.delete(event.grantId);
    if (event.outcome === 'returned') this.requeue(held.announcement);
    const {grantId, outcome, cost, times} = event;
    const cell = this.cell;
    this.send({type: 'finished', cell, grantId, outcome, cost, times});
  }

  /** Needs no `enqueue`: on `returned` the dispatcher queues the request. */
  private requeue(announcement: Announcement): void {
    const queuedAtMs = this.nowMs - announcement.waitedMs;
    this.waiting.set(announcement.requestId, {announcement, queuedAtMs});
  }

  /** Returns a grant that is not used: too late, or without a request. */
  private returnGrant(grantId: string, outcome: SlotOutcome): void {
    this.staleGrantCount += 1;
    this.send({
      type: 'finished',
      cell: this.cell,
      grantId,
      outcome,
      cost: 0,
    });
  }

  private syncMessage(): EntryMessage {
    const waiting = [...this.waiting.values()].map(request => ({
      ...request.announcement,
      waitedMs: this.nowMs - request.queuedAtMs,
    }));
    const held: HeldSlot[] = [...this.held].map(([grantId, slot]) => ({
      grantId,
      ...slot,
    }));
    const marks: ServiceCounter[] = [...this.serviceCounters].map(
      ([customer, service]) => ({
        customer,
        service,
      })
    );
    return {type: 'sync', cell: this.cell, waiting, held, marks};
  }

  private recordService(customer: string, service: number): void {
    this.serviceCounters.delete(customer);
    this.serviceCounters.set(customer, service);
    if (this.serviceCounters.size <= MAX_SERVICE_COUNTERS) return;
    evictOldest(this.serviceCounters);
  }

  private send(message: EntryMessage): void {
    if (this.dispatcher !== undefined) this.sendTo(this.dispatcher, message);
  }

  private sendTo(dispatcher: DispatcherEndpoint, message: EntryMessage): void {
    this.commands.push({type: 'send', dispatcher, message});
  }
}

function sameEndpoint(
  a: DispatcherEndpoint | undefined,
  b: DispatcherEndpoint | undefined
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.peer === b.peer && a.session === b.session;
}

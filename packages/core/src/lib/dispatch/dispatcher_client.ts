/**
 * An entry's part of one cell: the requests that wait here, the slots held,
 * and the one dispatcher that is told of them. Pure: events in, commands out.
 */
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

/** Where the cell's dispatcher is reached: one peer, one link's life. @public */
export interface DispatcherEndpoint {
  readonly peer: string;
  /** Changes whenever the link to the peer is made anew. */
  readonly session: number;
}

/** What happens to an entry's part of a cell. @public */
export type DispatcherClientEvent =
  | {
      readonly type: 'set_dispatcher';
      readonly dispatcher: DispatcherEndpoint | undefined;
      /** Whether the earlier dispatcher can still be told. */
      readonly notifyPrevious: boolean;
    }
  | {readonly type: 'submit'; readonly announcement: Announcement}
  | {readonly type: 'cancel'; readonly requestId: string}
  | {
      readonly type: 'dispatcher_message';
      readonly dispatcher: DispatcherEndpoint;
      readonly message: DispatcherMessage;
    }
  | {
      readonly type: 'progress';
      readonly grantId: string;
      readonly cost: number;
    }
  | {
      readonly type: 'finish';
      readonly grantId: string;
      readonly outcome: SlotOutcome;
      readonly cost: number;
      readonly times?: TokenTimes | undefined;
    };

/** What has to be done about it. @public */
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
      /** The entry's clock after which no byte may leave. */
      readonly expiresAtMs: number;
    }
  | {
      readonly type: 'refused';
      readonly requestId: string;
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    };

interface Held {
  readonly announcement: Announcement;
  readonly target: string;
  charged: number;
}

interface Waiting {
  readonly announcement: Announcement;
  readonly sinceMs: number;
}

/** Progress is told when the cost has passed the charge by this part. */
const PROGRESS_STEP_PART = 0.25;
const MIN_PROGRESS_STEP = 64;
const MAX_MARKS = 4096;

/** @public */
export class DispatcherClient {
  private home: DispatcherEndpoint | undefined;
  private readonly waiting = new Map<string, Waiting>();
  private readonly held = new Map<string, Held>();
  private readonly marks = new Map<string, number>();
  private commands: DispatcherClientCommand[] = [];
  private nowMs = 0;
  private staleCount = 0;

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

  /** Late, crossed and lapsed grants that were sent back or dropped. */
  get staleGrants(): number {
    return this.staleCount;
  }

  get currentDispatcher(): DispatcherEndpoint | undefined {
    return this.home;
  }

  /** Whether a cost is far enough past the charge to be told. */
  isProgressDue(grantId: string, cost: number): boolean {
    const charged = this.held.get(grantId)?.charged;
    if (charged === undefined) return false;
    const step = Math.max(MIN_PROGRESS_STEP, charged * PROGRESS_STEP_PART);
    return cost >= charged + step;
  }

  handle(
    event: DispatcherClientEvent,
    nowMs: number
  ): DispatcherClientCommand[] {
    this.nowMs = nowMs;
    this.commands = [];
    match(event)
      .with({type: 'set_dispatcher'}, e =>
        this.onHome(e.dispatcher, e.notifyPrevious)
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

  private onHome(home: DispatcherEndpoint | undefined, tellOld: boolean): void {
    const old = this.home;
    if (sameHome(old, home)) return;
    if (old !== undefined && tellOld) {
      this.sendTo(old, {type: 'leave', cell: this.cell});
    }
    this.home = home;
    if (home !== undefined) this.sendTo(home, this.syncMessage());
  }

  private onSubmit(announcement: Announcement): void {
    const sinceMs = this.nowMs - announcement.waitedMs;
    this.waiting.set(announcement.requestId, {announcement, sinceMs});
    this.send({type: 'enqueue', cell: this.cell, announcement});
  }

  private onCancel(requestId: string): void {
    if (!this.waiting.delete(requestId)) return;
    this.send({type: 'withdraw', cell: this.cell, requestId});
  }

  private onMessage(
    home: DispatcherEndpoint,
    message: DispatcherMessage
  ): void {
    if (!sameHome(home, this.home)) {
      this.staleCount += 1;
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
    if (request === undefined) return this.giveBack(grantId, 'withdrawn');
    const {announcement} = request;
    this.mark(announcement.customer, grant.service);
    const expiresAtMs = grant.echoMs + grant.leaseMs;
    if (this.nowMs > expiresAtMs) return this.giveBack(grantId, 'returned');
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
    if (event.outcome === 'returned') this.waitAgain(held.announcement);
    const {grantId, outcome, cost, times} = event;
    const cell = this.cell;
    this.send({type: 'finished', cell, grantId, outcome, cost, times});
  }

  private waitAgain(announcement: Announcement): void {
    const sinceMs = this.nowMs - announcement.waitedMs;
    this.waiting.set(announcement.requestId, {announcement, sinceMs});
  }

  private giveBack(grantId: string, end: SlotOutcome): void {
    this.staleCount += 1;
    this.send({
      type: 'finished',
      cell: this.cell,
      grantId,
      outcome: end,
      cost: 0,
    });
  }

  private syncMessage(): EntryMessage {
    const waiting = [...this.waiting.values()].map(request => ({
      ...request.announcement,
      waitedMs: this.nowMs - request.sinceMs,
    }));
    const held: HeldSlot[] = [...this.held].map(([grantId, slot]) => ({
      grantId,
      ...slot,
    }));
    const marks: ServiceCounter[] = [...this.marks].map(
      ([customer, service]) => ({
        customer,
        service,
      })
    );
    return {type: 'sync', cell: this.cell, waiting, held, marks};
  }

  private mark(customer: string, service: number): void {
    this.marks.delete(customer);
    this.marks.set(customer, service);
    if (this.marks.size <= MAX_MARKS) return;
    for (const oldest of this.marks.keys()) {
      this.marks.delete(oldest);
      return;
    }
  }

  private send(message: EntryMessage): void {
    if (this.home !== undefined) this.sendTo(this.home, message);
  }

  private sendTo(home: DispatcherEndpoint, message: EntryMessage): void {
    this.commands.push({type: 'send', dispatcher: home, message});
  }
}

function sameHome(
  a: DispatcherEndpoint | undefined,
  b: DispatcherEndpoint | undefined
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.peer === b.peer && a.session === b.session;
}

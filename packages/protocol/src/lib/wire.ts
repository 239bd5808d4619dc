/**
 * The compact form of messages: positions in place of names and small numbers
 * in place of words, since control traffic has a budget for each node. What
 * comes off the wire is unchecked until the schemas have seen it.
 */
import {SLOT_OUTCOME} from '@applebend/core';

import type {
  Announcement,
  DispatcherMessage,
  EntryMessage,
  HeldSlot,
} from '@applebend/core';
import type {PeerMessage} from './messages.js';

type Wire = readonly unknown[];

const SLOT_ENDS = Object.values(SLOT_OUTCOME);
const REFUSALS = ['queue_full', 'quarantined'] as const;

/** The first element of each message. A number is never given a new meaning. */
const CODE = {
  heartbeat: 0,
  goodbye: 1,
  config_request: 2,
  config_state: 3,
  loss: 4,
  sync: 5,
  leave: 6,
  enqueue: 7,
  withdraw: 8,
  progress: 9,
  finished: 10,
  grant: 11,
  refuse: 12,
  resync: 13,
} as const;

type Code = keyof typeof CODE;

/** Packs a message. @public */
export function toWire(message: PeerMessage): Wire {
  switch (message.type) {
    case 'to_dispatcher': {
      const inner = message.message;
      const fields = packEntryMessage(inner);
      return [CODE[inner.type], Math.floor(message.sentAtMs), ...fields];
    }
    case 'to_entry':
      return [
        CODE[message.message.type],
        ...packDispatcherMessage(message.message),
      ];
    case 'heartbeat': {
      const {ready, draining, revision, leavingTargets} = message.state;
      const sentAtMs = Math.floor(message.sentAtMs);
      const flags = Number(ready) + 2 * Number(draining);
      return [CODE.heartbeat, sentAtMs, flags, revision, ...leavingTargets];
    }
    case 'loss': {
      const {fingerprint, target, seenAtMs} = message.loss;
      return [CODE.loss, fingerprint, target, seenAtMs];
    }
    case 'config_state':
      return [CODE.config_state, message.snapshot];
    case 'goodbye':
    case 'config_request':
      return [CODE[message.type]];
  }
}

/** Unpacks what may be a message; undefined when it cannot be one. @public */
export function fromWire(wire: unknown): unknown {
  if (!Array.isArray(wire)) return undefined;
  const [code, ...fields] = wire as unknown[];
  const unpack = UNPACKERS.get(code);
  return unpack?.(fields);
}

const UNPACKERS = new Map<unknown, (fields: unknown[]) => unknown>([
  [CODE.heartbeat, unpackHeartbeat],
  [CODE.goodbye, () => ({type: 'goodbye'})],
  [CODE.config_request, () => ({type: 'config_request'})],
  [CODE.config_state, ([snapshot]) => ({type: 'config_state', snapshot})],
  [
    CODE.loss,
    ([fingerprint, target, seenAtMs]) => ({
      type: 'loss',
      loss: {fingerprint, target, seenAtMs},
    }),
  ],
  [
    CODE.sync,
    toDispatcher('sync', ([waiting, held, marks]) => ({
      waiting: mapArray(waiting, unpackAnnouncement),
      held: mapArray(held, unpackHeld),
      marks: mapArray(marks, ([customer, service]) => ({customer, service})),
    })),
  ],
  [CODE.leave, toDispatcher('leave', () => ({}))],
  [
    CODE.enqueue,
    toDispatcher('enqueue', fields => ({
      announcement: unpackAnnouncement(fields),
    })),
  ],
  [CODE.withdraw, toDispatcher('withdraw', ([requestId]) => ({requestId}))],
  [
    CODE.progress,
    toDispatcher('progress', ([grantId, cost]) => ({grantId, cost})),
  ],
  [CODE.finished, toDispatcher('finished', unpackFinished)],
  [CODE.grant, unpackGrant],
  [CODE.refuse, unpackRefuse],
  [
    CODE.resync,
    ([cell]) => ({type: 'to_entry', message: {type: 'resync', cell}}),
  ],
]);

function packEntryMessage(message: EntryMessage): Wire {
  switch (message.type) {
    case 'sync':
      return [
        message.cell,
        message.waiting.map(packAnnouncement),
        message.held.map(packHeld),
        message.marks.map(({customer, service}) => [
          customer,
          Math.round(service),
        ]),
      ];
    case 'leave':
      return [message.cell];
    case 'enqueue':
      return [message.cell, ...packAnnouncement(message.announcement)];
    case 'withdraw':
      return [message.cell, message.requestId];
    case 'progress':
      return [message.cell, message.grantId, Math.round(message.cost)];
    case 'finished': {
      const {cell, grantId, outcome, cost, times} = message;
      const head = [
        cell,
        grantId,
        SLOT_ENDS.indexOf(outcome),
        Math.round(cost),
      ];
      if (times === undefined) return head;
      const {firstTokenMs, betweenTokensMs} = times;
      return [...head, Math.round(firstTokenMs), Math.round(betweenTokensMs)];
    }
  }
}

function packDispatcherMessage(message: DispatcherMessage): Wire {
  if (message.type === 'resync') return [message.cell];
  if (message.type === 'refuse') {
    const {cell, requestId, reason, retryAfterMs} = message;
    const code = REFUSALS.indexOf(reason);
    return [cell, requestId, code, Math.round(retryAfterMs)];
  }
  const {cell, requestId, grantId, target, echoMs, leaseMs, service} = message;
  const level = Math.round(service);
  return [cell, requestId, grantId, target, echoMs, leaseMs, level];
}

/** A wait of zero and an empty list of targets to avoid are left out. */
function packAnnouncement(announcement: Announcement): Wire {
  const {requestId, customer, className, fingerprint} = announcement;
  const {estimate, affinity, waitedMs, avoid} = announcement;
  const head = [
    requestId,
    customer,
    className,
    Math.round(estimate),
    fingerprint,
    affinity,
  ];
  if (avoid.length === 0 && waitedMs < 1) return head;
  return [...head, Math.floor(waitedMs), ...avoid];
}

function unpackAnnouncement(fields: unknown[]): unknown {
  const [requestId, customer, className, estimate, fingerprint, affinity] =
    fields;
  const [waitedMs = 0, ...avoid] = fields.slice(6);
  return {
    requestId,
    customer,
    className,
    estimate,
    fingerprint,
    affinity,
    avoid,
    waitedMs,
  };
}

function packHeld(slot: HeldSlot): Wire {
  const {grantId, target, charged, announcement} = slot;
  const cost = Math.round(charged);
  return [grantId, target, cost, ...packAnnouncement(announcement)];
}

function unpackHeld([grantId, target, charged, ...rest]: unknown[]): unknown {
  return {grantId, target, charged, announcement: unpackAnnouncement(rest)};
}

function unpackHeartbeat([sentAtMs, flags, revision, ...leaving]: unknown[]) {
  const bits = typeof flags === 'number' ? flags : 0;
  const state = {
    ready: (bits & 1) !== 0,
    draining: (bits & 2) !== 0,
    revision,
    leavingTargets: leaving,
  };
  return {type: 'heartbeat', sentAtMs, state};
}

function unpackFinished(fields: unknown[]): object {
  const [grantId, end, cost, firstTokenMs, betweenTokensMs] = fields;
  const times =
    firstTokenMs === undefined ? undefined : {firstTokenMs, betweenTokensMs};
  return {grantId, outcome: SLOT_ENDS[Number(end)], cost, times};
}

function unpackGrant(fields: unknown[]): unknown {
  const [cell, requestId, grantId, target, echoMs, leaseMs, service] = fields;
  const type = 'grant';
  const message = {
    type,
    cell,
    requestId,
    grantId,
    target,
    echoMs,
    leaseMs,
    service,
  };
  return {type: 'to_entry', message};
}

function unpackRefuse(fields: unknown[]): unknown {
  const [cell, requestId, code, retryAfterMs] = fields;
  const reason = REFUSALS[Number(code)];
  const message = {type: 'refuse', cell, requestId, reason, retryAfterMs};
  return {type: 'to_entry', message};
}

function toDispatcher(
  type: Code,
  unpack: (fields: unknown[]) => object
): (fields: unknown[]) => unknown {
  return ([sentAtMs, cell, ...rest]) => {
    const message = {type, cell, ...unpack(rest)};
    return {type: 'to_dispatcher', sentAtMs, message};
  };
}

function mapArray(
  items: unknown,
  unpack: (fields: unknown[]) => unknown
): unknown {
  if (!Array.isArray(items)) return undefined;
  return items.map(item => (Array.isArray(item) ? unpack(item) : undefined));
}

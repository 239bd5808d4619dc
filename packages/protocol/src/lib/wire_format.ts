import {SLOT_OUTCOME} from '@applebend/core';

import type {
  Announcement,
  DispatcherMessage,
  EntryMessage,
  HeldSlot,
} from '@applebend/core';
import type {PeerMessage} from './messages.js';

/**
 * A message in compact form: an array without field names, with numbers for
 * enum values, because control traffic has a byte budget per node.
 */
type WireFields = readonly unknown[];

/** An outcome's number is its position, so the order must not change. */
const SLOT_OUTCOMES = Object.values(SLOT_OUTCOME);
/** A reason's number is its position, so the order must not change. */
const REFUSAL_REASONS = ['queue_full', 'quarantined'] as const;

/** The first element of a message. A number must never get a new meaning. */
const MESSAGE_CODE = {
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

type MessageType = keyof typeof MESSAGE_CODE;

/** Converts a message to its compact form. @public */
export function packMessage(message: PeerMessage): WireFields {
  switch (message.type) {
    case 'to_dispatcher': {
      const inner = message.message;
      const fields = packEntryMessage(inner);
      return [
        MESSAGE_CODE[inner.type],
        Math.floor(message.sentAtMs),
        ...fields,
      ];
    }
    case 'to_entry':
      return [
        MESSAGE_CODE[message.message.type],
        ...packDispatcherMessage(message.message),
      ];
    case 'heartbeat': {
      const {ready, draining, revision, leavingTargets} = message.state;
      const sentAtMs = Math.floor(message.sentAtMs);
      const flags = Number(ready) + 2 * Number(draining);
      return [
        MESSAGE_CODE.heartbeat,
        sentAtMs,
        flags,
        revision,
        ...leavingTargets,
      ];
    }
    case 'loss': {
      const {fingerprint, target, seenAtMs} = message.loss;
      return [MESSAGE_CODE.loss, fingerprint, target, seenAtMs];
    }
    case 'config_state':
      return [MESSAGE_CODE.config_state, message.snapshot];
    case 'goodbye':
    case 'config_request':
      return [MESSAGE_CODE[message.type]];
  }
}

/**
 * Converts a compact form back to a message, or returns undefined if it is not
 * an array with a known code. Callers must validate the result against
 * `frameSchema`.
 *
 * @public
 */
export function unpackMessage(wire: unknown): unknown {
  if (!Array.isArray(wire)) return undefined;
  const [code, ...fields] = wire as unknown[];
  const unpack = UNPACKERS.get(code);
  return unpack?.(fields);
}

const UNPACKERS = new Map<unknown, (fields: unknown[]) => unknown>([
  [MESSAGE_CODE.heartbeat, unpackHeartbeat],
  [MESSAGE_CODE.goodbye, () => ({type: 'goodbye'})],
  [MESSAGE_CODE.config_request, () => ({type: 'config_request'})],
  [
    MESSAGE_CODE.config_state,
    ([snapshot]) => ({type: 'config_state', snapshot}),
  ],
  [
    MESSAGE_CODE.loss,
    ([fingerprint, target, seenAtMs]) => ({
      type: 'loss',
      loss: {fingerprint, target, seenAtMs},
    }),
  ],
  [
    MESSAGE_CODE.sync,
    unpackToDispatcher('sync', ([waiting, held, marks]) => ({
      waiting: unpackArray(waiting, unpackAnnouncement),
      held: unpackArray(held, unpackHeldSlot),
      marks: unpackArray(marks, ([customer, service]) => ({customer, service})),
    })),
  ],
  [MESSAGE_CODE.leave, unpackToDispatcher('leave', () => ({}))],
  [
    MESSAGE_CODE.enqueue,
    unpackToDispatcher('enqueue', fields => ({
      announcement: unpackAnnouncement(fields),
    })),
  ],
  [
    MESSAGE_CODE.withdraw,
    unpackToDispatcher('withdraw', ([requestId]) => ({requestId})),
  ],
  [
    MESSAGE_CODE.progress,
    unpackToDispatcher('progress', ([grantId, cost]) => ({grantId, cost})),
  ],
  [MESSAGE_CODE.finished, unpackToDispatcher('finished', unpackFinished)],
  [MESSAGE_CODE.grant, unpackGrant],
  [MESSAGE_CODE.refuse, unpackRefuse],
  [
    MESSAGE_CODE.resync,
    ([cell]) => ({type: 'to_entry', message: {type: 'resync', cell}}),
  ],
]);

function packEntryMessage(message: EntryMessage): WireFields {
  switch (message.type) {
    case 'sync':
      return [
        message.cell,
        message.waiting.map(packAnnouncement),
        message.held.map(packHeldSlot),
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
        SLOT_OUTCOMES.indexOf(outcome),
        Math.round(cost),
      ];
      if (times === undefined) return head;
      const {firstTokenMs, betweenTokensMs} = times;
      return [...head, Math.round(firstTokenMs), Math.round(betweenTokensMs)];
    }
  }
}

function packDispatcherMessage(message: DispatcherMessage): WireFields {
  if (message.type === 'resync') return [message.cell];
  if (message.type === 'refuse') {
    const {cell, requestId, reason, retryAfterMs} = message;
    const code = REFUSAL_REASONS.indexOf(reason);
    return [cell, requestId, code, Math.round(retryAfterMs)];
  }
  const {cell, requestId, grantId, target, echoMs, leaseMs, service} = message;
  const roundedService = Math.round(service);
  return [cell, requestId, grantId, target, echoMs, leaseMs, roundedService];
}

/** Omits the last two fields if there is no wait and no target to avoid. */
function packAnnouncement(announcement: Announcement): WireFields {
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

function packHeldSlot(slot: HeldSlot): WireFields {
  const {grantId, target, charged, announcement} = slot;
  const cost = Math.round(charged);
  return [grantId, target, cost, ...packAnnouncement(announcement)];
}

function unpackHeldSlot([
  grantId,
  target,
  charged,
  ...rest
]: unknown[]): unknown {
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
  const [grantId, outcomeCode, cost, firstTokenMs, betweenTokensMs] = fields;
  const times =
    firstTokenMs === undefined ? undefined : {firstTokenMs, betweenTokensMs};
  return {grantId, outcome: SLOT_OUTCOMES[Number(outcomeCode)], cost, times};
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
  const reason = REFUSAL_REASONS[Number(code)];
  const message = {type: 'refuse', cell, requestId, reason, retryAfterMs};
  return {type: 'to_entry', message};
}

/** Returns an unpacker for messages of one type to a dispatcher. */
function unpackToDispatcher(
  type: MessageType,
  unpack: (fields: unknown[]) => object
): (fields: unknown[]) => unknown {
  return ([sentAtMs, cell, ...rest]) => {
    const message = {type, cell, ...unpack(rest)};
    return {type: 'to_dispatcher', sentAtMs, message};
  };
}

/** Applies `unpack` to the elements; undefined marks malformed input. */
function unpackArray(
  items: unknown,
  unpack: (fields: unknown[]) => unknown
): unknown {
  if (!Array.isArray(items)) return undefined;
  return items.map(item => (Array.isArray(item) ? unpack(item) : undefined));
}

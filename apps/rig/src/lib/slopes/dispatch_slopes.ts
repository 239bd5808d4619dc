import {Dispatcher, POLICIES} from '@applebend/core';
import {decodeMessages, encodeMessages} from '@applebend/protocol';
import {Random} from '@applebend/utils';
import {heapBytes, recordSlope, microsecondsPerCall} from './slope_table.js';

import type {Announcement, DispatchCommand} from '@applebend/core';
import type {PeerMessage} from '@applebend/protocol';

const random = Random.create(1);

function announcementOf(index: number, customers: number): Announcement {
  return {
    requestId: `Ab3dEf9h${index.toString(36)}`,
    customer: `customer-${index % customers}`,
    className: 'layout',
    estimate: random.int(100, 600),
    fingerprint: `fp${index.toString(36).padStart(9, '0')}`,
    affinity: index & 0xffff,
    avoid: [],
    waitedMs: 0,
  };
}

/** Returns a dispatcher of one cell, synced with its only entry. */
function newDispatcher(targets: number, slots: number): Dispatcher {
  const dispatcher = Dispatcher.create({
    cell: 'nest-llm',
    incarnation: 'AbCdEfGh',
    policy: POLICIES.dispatched,
    slots: {
      limits: {
        startSlots: slots,
        maxSlots: slots,
        firstTokenTargetMs: 890,
        betweenTokensTargetMs: 46,
      },
      shortCallSlots: 1,
    },
    rulesOf: () => ({
      share: 1,
      maxQueued: 1e6,
      priority: 5,
      short: false,
      maxWaitMs: 1e6,
    }),
    leaseMs: 2500,
    wallMs: () => 0,
  });
  dispatcher.handle({type: 'routers', routers: ['entry-1']}, 0);
  const views = Array.from({length: targets}, (_, i) => ({
    id: `nest-llm-${i}`,
    leaving: false,
  }));
  dispatcher.handle({type: 'targets', targets: views}, 0);
  sendFromEntry(dispatcher, {
    type: 'sync',
    cell: 'nest-llm',
    waiting: [],
    held: [],
    marks: [],
  });
  return dispatcher;
}

/** Delivers a message of an entry and returns the commands it causes. */
function sendFromEntry(
  dispatcher: Dispatcher,
  message: Extract<PeerMessage, {type: 'to_dispatcher'}>['message']
): DispatchCommand[] {
  return dispatcher.handle(
    {type: 'entry_message', entry: 'entry-1', sentAtMs: 1, message},
    1
  );
}

/** Measures time and memory per request in a backlogged cell. */
export function measureDispatch(): void {
  for (const customers of [10, 91, 300]) {
    const dispatcher = newDispatcher(2, 16);
    const grants: string[] = [];
    const enqueue = (index: number) => {
      const announcement = announcementOf(index, customers);
      const message = {
        type: 'enqueue',
        cell: 'nest-llm',
        announcement,
      } as const;
      for (const command of sendFromEntry(dispatcher, message)) {
        if (command.message.type === 'grant') {
          grants.push(command.message.grantId);
        }
      }
    };
    const before = heapBytes();
    const waiting = customers * 10;
    for (let i = 0; i < waiting; i++) enqueue(i);
    recordSlope(
      'queued request, memory',
      waiting,
      'B',
      (heapBytes() - before) / waiting
    );
    let next = waiting;
    const perRequestUs = microsecondsPerCall(2000, () => {
      enqueue(next++);
      const grantId = grants.shift();
      if (grantId === undefined) return;
      const commands = sendFromEntry(dispatcher, {
        type: 'finished',
        cell: 'nest-llm',
        grantId,
        outcome: 'answered',
        cost: 300,
        times: {firstTokenMs: 100, betweenTokensMs: 30},
      });
      for (const {message} of commands) {
        if (message.type === 'grant') grants.push(message.grantId);
      }
    });
    recordSlope(
      'dispatch of one request, by customers',
      customers,
      'us',
      perRequestUs
    );
  }
}

/** Measures the size and codec time of peer messages. */
export function measureMessages(): void {
  const announcement = announcementOf(12345, 91);
  const cell = 'nest-llm';
  const grantId = 'AbCdEfGh-12345';
  const messages: Record<string, PeerMessage> = {
    enqueue: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {type: 'enqueue', cell, announcement},
    },
    grant: {
      type: 'to_entry',
      message: {
        type: 'grant',
        cell,
        requestId: announcement.requestId,
        grantId,
        target: 'nest-llm-11',
        echoMs: 86_400_000,
        leaseMs: 2500,
        service: 123_456_789,
      },
    },
    progress: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {type: 'progress', cell, grantId, cost: 812},
    },
    finished: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {
        type: 'finished',
        cell,
        grantId,
        outcome: 'answered',
        cost: 901,
        times: {firstTokenMs: 101, betweenTokensMs: 31},
      },
    },
    heartbeat: {
      type: 'heartbeat',
      sentAtMs: 86_400_000,
      state: {ready: true, draining: false, revision: 371, leavingTargets: []},
    },
  };
  for (const [name, message] of Object.entries(messages)) {
    const frame = encodeMessages([message]);
    recordSlope(`message ${name}`, 1, 'B', frame.length);
    const us = microsecondsPerCall(20_000, () => {
      decodeMessages(encodeMessages([message]));
    });
    recordSlope(`message ${name}, encode and decode`, 1, 'us', us);
  }
  for (const waiting of [10, 100, 1000]) {
    const message: PeerMessage = {
      type: 'to_dispatcher',
      sentAtMs: 1,
      message: {
        type: 'sync',
        cell,
        waiting: Array.from({length: waiting}, (_, i) => announcementOf(i, 91)),
        held: [],
        marks: [],
      },
    };
    const bytes = encodeMessages([message]).length;
    recordSlope(
      'sync after a dispatcher change, by waiting requests',
      waiting,
      'B',
      bytes
    );
  }
}

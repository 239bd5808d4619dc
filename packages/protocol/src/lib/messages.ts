import {z} from 'zod';
import {SLOT_OUTCOME} from '@applebend/core';

import type {DispatcherMessage, EntryMessage} from '@applebend/core';

/** Instances with different versions close their link. @public */
export const PROTOCOL_VERSION = 1;

const MAX_ID_LENGTH = 128;
const id = z.string().min(1).max(MAX_ID_LENGTH);
const finiteNumber = z.number().finite();
const nonNegativeNumber = finiteNumber.nonnegative();

const announcementSchema = z.strictObject({
  requestId: id,
  customer: id,
  className: id,
  estimate: nonNegativeNumber,
  fingerprint: id,
  affinity: z.number().int(),
  avoid: z.array(id).max(32),
  waitedMs: finiteNumber,
});

const heldSlotSchema = z.strictObject({
  grantId: id,
  target: id,
  announcement: announcementSchema,
  charged: nonNegativeNumber,
});

const tokenTimesSchema = z.strictObject({
  firstTokenMs: nonNegativeNumber,
  betweenTokensMs: nonNegativeNumber,
});

/** Validates an `EntryMessage`, whose declaration describes the fields. */
const entryMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('sync'),
    cell: id,
    waiting: z.array(announcementSchema),
    held: z.array(heldSlotSchema),
    marks: z.array(z.strictObject({customer: id, service: finiteNumber})),
  }),
  z.strictObject({type: z.literal('leave'), cell: id}),
  z.strictObject({
    type: z.literal('enqueue'),
    cell: id,
    announcement: announcementSchema,
  }),
  z.strictObject({type: z.literal('withdraw'), cell: id, requestId: id}),
  z.strictObject({
    type: z.literal('progress'),
    cell: id,
    grantId: id,
    cost: nonNegativeNumber,
  }),
  z.strictObject({
    type: z.literal('finished'),
    cell: id,
    grantId: id,
    outcome: z.enum(SLOT_OUTCOME),
    cost: nonNegativeNumber,
    times: tokenTimesSchema.optional(),
  }),
]);

/** Validates a `DispatcherMessage`; see its declaration for the fields. */
const dispatcherMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({type: z.literal('resync'), cell: id}),
  z.strictObject({
    type: z.literal('grant'),
    cell: id,
    requestId: id,
    grantId: id,
    target: id,
    echoMs: finiteNumber,
    leaseMs: nonNegativeNumber,
    service: finiteNumber,
  }),
  z.strictObject({
    type: z.literal('refuse'),
    cell: id,
    requestId: id,
    reason: z.enum(['queue_full', 'quarantined']),
    retryAfterMs: nonNegativeNumber,
  }),
]);

/** Validates a `PeerState`, whose declaration describes the fields. */
const peerStateSchema = z.strictObject({
  ready: z.boolean(),
  draining: z.boolean(),
  revision: z.number().int().min(0),
  leavingTargets: z.array(id),
});

/** Validates a `PeerMessage`, except for the snapshot of a configuration. */
const peerMessageSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('heartbeat'),
    sentAtMs: finiteNumber,
    state: peerStateSchema,
  }),
  /** The sender is shutting down. */
  z.strictObject({type: z.literal('goodbye')}),
  z.strictObject({
    type: z.literal('to_dispatcher'),
    sentAtMs: finiteNumber,
    message: entryMessageSchema,
  }),
  z.strictObject({
    type: z.literal('to_entry'),
    message: dispatcherMessageSchema,
  }),
  /** Requests a `config_state` with a snapshot of the configuration. */
  z.strictObject({type: z.literal('config_request')}),
  /** The receiver decodes the snapshot, and ignores an invalid one. */
  z.strictObject({type: z.literal('config_state'), snapshot: z.unknown()}),
  /** A target was lost while it ran a request with this fingerprint. */
  z.strictObject({
    type: z.literal('loss'),
    loss: z.strictObject({fingerprint: id, target: id, seenAtMs: finiteNumber}),
  }),
]);

/** Validates the unpacked messages of one frame. @public */
export const frameSchema = z.array(peerMessageSchema);

/** The first frame that each side of a link sends. @public */
export const helloSchema = z.strictObject({
  type: z.literal('hello'),
  version: z.number().int(),
  instance: id,
  incarnation: id,
  /** 16 random bytes in hexadecimal. */
  nonce: z.string().length(32),
});

/** The second frame: proves knowledge of the shared secret. @public */
export const proofSchema = z.strictObject({
  type: z.literal('proof'),
  /** HMAC-SHA256 in hexadecimal. */
  mac: z.string().length(64),
});

/** The validated first frame. @public */
export type Hello = z.infer<typeof helloSchema>;

type ParsedMessage = z.infer<typeof peerMessageSchema>;

/** A message over an authenticated link. @public */
export type PeerMessage =
  | Exclude<ParsedMessage, {type: 'to_dispatcher' | 'to_entry'}>
  | {
      readonly type: 'to_dispatcher';
      /** The sender's monotonic clock, echoed in grants as `echoMs`. */
      readonly sentAtMs: number;
      readonly message: EntryMessage;
    }
  | {readonly type: 'to_entry'; readonly message: DispatcherMessage};

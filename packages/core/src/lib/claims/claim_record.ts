/** The records of the claim stream, as they lie on the log. */
import {z} from 'zod';

const claimSchema = z.strictObject({
  type: z.literal('claim'),
  claimId: z.string().max(64),
  customer: z.string().max(64),
  /** Hash of the customer's idempotency key. */
  keyHash: z.string().max(64),
  /** Hash of the request, so that a key used for other work is noticed. */
  fingerprint: z.string().max(64),
  /** The incarnation that alone may send the request. */
  owner: z.string().max(128),
});

const releaseSchema = z.strictObject({
  type: z.literal('release'),
  claimId: z.string().max(64),
});

const doneSchema = z.strictObject({
  type: z.literal('done'),
  claimId: z.string().max(64),
  status: z.number().int(),
  contentType: z.string().max(256),
  /** The answer; null when it was too large to keep. */
  body: z.string().nullable(),
});

/** @public */
export const claimBatchSchema = z.strictObject({
  records: z.array(
    z.discriminatedUnion('type', [claimSchema, releaseSchema, doneSchema])
  ),
});

/** The right to run one non-idempotent request. @public */
export type ClaimRecord = z.infer<typeof claimSchema>;
/** The owner's word that it never sent the request and never will. @public */
export type ReleaseRecord = z.infer<typeof releaseSchema>;
/** The answer of a request that ran. @public */
export type DoneRecord = z.infer<typeof doneSchema>;
/** @public */
export type ClaimStreamRecord = ClaimRecord | ReleaseRecord | DoneRecord;

import {z} from 'zod';

const claimSchema = z.strictObject({
  type: z.literal('claim'),
  claimId: z.string().max(64),
  customer: z.string().max(64),
  /** Hash of the customer's idempotency key. */
  keyHash: z.string().max(64),
  /** Hash of the request, to detect that a key is reused for another one. */
  fingerprint: z.string().max(64),
  /** `instance/incarnation` of the only process that may send the request. */
  owner: z.string().max(128),
});

const releaseSchema = z.strictObject({
  type: z.literal('release'),
  claimId: z.string().max(64),
});

const doneSchema = z.strictObject({
  type: z.literal('done'),
  claimId: z.string().max(64),
  /** HTTP status of the response. */
  status: z.number().int(),
  contentType: z.string().max(256),
  /** Body of the response, or null if it was too large to store. */
  body: z.string().nullable(),
});

/**
 * Schema of one log record of the claim stream: claim records that an instance
 * appended together. A claim reserves one execution of a non-idempotent
 * request.
 *
 * @public
 */
export const claimBatchSchema = z.strictObject({
  records: z.array(
    z.discriminatedUnion('type', [claimSchema, releaseSchema, doneSchema])
  ),
});

/** Asks for the right to run one non-idempotent request. @public */
export type ClaimRecord = z.infer<typeof claimSchema>;
/** States that the owner never sent the request and never will. @public */
export type ReleaseRecord = z.infer<typeof releaseSchema>;
/** The response of a request that ran, kept for replays. @public */
export type DoneRecord = z.infer<typeof doneSchema>;
/** Any record of the claim stream. @public */
export type ClaimStreamRecord = ClaimRecord | ReleaseRecord | DoneRecord;

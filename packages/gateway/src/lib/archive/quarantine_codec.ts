import {parseJson} from '@applebend/utils';
import * as z from 'zod';

import type {Quarantine} from '@applebend/routing';
import type {ArchivedRecord} from '../ports.js';

const quarantineSchema = z.object({
  losses: z.number().min(1),
  /** End of the quarantine in Unix milliseconds. */
  untilMs: z.number(),
});

/**
 * Encodes the record of a quarantine; the fingerprint is its key.
 *
 * @public
 */
export function encodeQuarantine(
  {losses, leftMs}: Quarantine,
  wallMs: number
): Buffer {
  const untilMs = Math.round(wallMs + leftMs);
  return Buffer.from(JSON.stringify({losses, untilMs}));
}

/** Returns undefined if the record is no quarantine, or an ended one. @public */
export function decodeQuarantine(
  {key, value}: ArchivedRecord,
  wallMs: number
): Quarantine | undefined {
  if (value === undefined) return undefined;
  const parsed = quarantineSchema.safeParse(parseJson(value));
  if (!parsed.success) return undefined;
  const {losses, untilMs} = parsed.data;
  const leftMs = untilMs - wallMs;
  return leftMs > 0 ? {fingerprint: key, losses, leftMs} : undefined;
}

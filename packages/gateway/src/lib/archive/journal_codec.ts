import {pack, unpack} from 'msgpackr';
import * as z from 'zod';

import type {JournalRecord} from '@applebend/routing';
import type {ArchivedRecord} from '../ports.js';

/** Key of all records with streams; the store keeps the newest forever. @public */
export const STREAMS_KEY = 'streams';
const SERVICE_PREFIX = 'service/';

const versionsSchema = z.array(z.string());
/** Versions with their attempts; keys of more than 32 bits take 9 bytes. */
const streamsSchema = z.array(z.tuple([z.string(), z.array(z.int().min(0))]));

/** @public */
export function encodeJournalRecord(record: JournalRecord): {
  readonly key: string;
  readonly value: Buffer;
} {
  switch (record.kind) {
    case 'service': {
      const key = `${SERVICE_PREFIX}${record.service}`;
      return {key, value: pack(record.versions)};
    }
    case 'streams':
      return {key: STREAMS_KEY, value: pack([...record.attempts])};
  }
}

/** Returns undefined if the record is malformed. @public */
export function decodeJournalRecord({
  key,
  value,
}: ArchivedRecord): JournalRecord | undefined {
  const content = value === undefined ? undefined : unpackValue(value);
  if (key === STREAMS_KEY) {
    const {data} = streamsSchema.safeParse(content);
    return data && {kind: 'streams', attempts: new Map(data)};
  }
  if (!key.startsWith(SERVICE_PREFIX)) return undefined;
  const service = key.slice(SERVICE_PREFIX.length);
  const {data} = versionsSchema.safeParse(content);
  return data && {kind: 'service', service, versions: data};
}

/** Returns undefined, which meets no schema, if the value cannot be read. */
function unpackValue(value: Buffer): unknown {
  try {
    return unpack(value);
  } catch {
    return undefined;
  }
}

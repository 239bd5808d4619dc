import type {AttemptKey} from './stream_versions.js';

/** A record of the journal of stream versions. @public */
export type JournalRecord =
  | {
      readonly kind: 'service';
      readonly service: string;
      /** All versions at which a stream of the service may have begun. */
      readonly versions: readonly string[];
    }
  | {
      readonly kind: 'streams';
      /** Version to the attempts whose streams began there. */
      readonly attempts: ReadonlyMap<string, readonly AttemptKey[]>;
    };

/** A record with the versions of one service. @public */
export type ServiceRecord = Extract<JournalRecord, {kind: 'service'}>;

/** A record with the versions of streams. @public */
export type StreamsRecord = Extract<JournalRecord, {kind: 'streams'}>;

/** Keeps a record, at 9 bytes for each attempt, far below the store's limit. */
const MAX_ATTEMPTS_PER_RECORD = 5000;

/** Splits streams into records. @internal */
export function streamsRecordsOf(
  streams: ReadonlyMap<AttemptKey, string>
): StreamsRecord[] {
  const records: StreamsRecord[] = [];
  let attempts = new Map<string, AttemptKey[]>();
  let count = 0;
  for (const [attempt, version] of streams) {
    if (count === MAX_ATTEMPTS_PER_RECORD) {
      records.push({kind: 'streams', attempts});
      attempts = new Map();
      count = 0;
    }
    const ofVersion = attempts.get(version);
    if (ofVersion === undefined) attempts.set(version, [attempt]);
    else ofVersion.push(attempt);
    count += 1;
  }
  if (count > 0) records.push({kind: 'streams', attempts});
  return records;
}

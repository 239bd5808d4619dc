import assert from 'node:assert/strict';

import type {AttemptKey} from '../lib/versions/stream_versions.js';
import type {JournalInstance} from './journal_instance.js';
import type {JournalReleases} from './journal_releases.js';
import type {JournalStore} from './journal_store.js';

/** A stream that a caller may resume, and where it truly began. */
export interface OracleStream {
  readonly attempt: AttemptKey;
  readonly service: string;
  version: string;
  readonly beganAtMs: number;
  /** Where the caller sent its first attempt. */
  readonly instance: JournalInstance;
  /** When the attempt was sent to another version, before its first event. */
  resentAtMs: number;
}

/** Until then, not all instances and the journal know of a second send. */
export const RESEND_SETTLES_MS = 2000;
/** Retention time of a configuration whose routes have shorter timeouts. */
export const RETENTION_MS = 30_000;
/** No caller resumes a stream without an event. */
const FIRST_EVENT_MS = 400;

/** Whether the caller has the first event of a stream. */
export function hasBegun({beganAtMs}: OracleStream, nowMs: number): boolean {
  return nowMs - beganAtMs >= FIRST_EVENT_MS;
}

/** The versions of targets that an instance knows and that still exist. */
export function placeableVersions(
  {list}: JournalInstance,
  releases: JournalReleases,
  service: string
): string[] {
  const existing = releases.versionsOf(service);
  return (list ?? [])
    .filter(target => target.service === service)
    .map(({version}) => version)
    .filter(version => existing.includes(version));
}

/**
 * Checks what an instance decides on a stream that a caller resumes. Returns
 * whether it continues.
 */
export function checkResumed(
  instance: JournalInstance,
  stream: OracleStream,
  releases: JournalReleases,
  nowMs: number
): boolean {
  const {attempt, service, version, beganAtMs, resentAtMs} = stream;
  const isSettled = nowMs - resentAtMs >= RESEND_SETTLES_MS;
  if (!isSettled || !hasBegun(stream, nowMs)) return false;
  const placeable = placeableVersions(instance, releases, service);
  const need = instance.needOf(attempt, service, nowMs);
  const message = `attempt ${attempt} of ${version} of ${service}, begun at ${beganAtMs}, at ${instance.options.id} at ${nowMs}`;
  if (need.kind === 'exact') {
    assert.equal(need.version, version, `joined: ${message}`);
    return placeable.includes(version);
  }
  if (need.kind === 'inferred') {
    if (isVersionUnseen(instance, stream)) return false;
    if (!placeable.includes(need.version)) return false;
    assert.equal(need.version, version, `joined: ${message}`);
    return true;
  }
  const named = instance.readAttempts.get(attempt);
  const isWritten = instance.journal.isRead && named?.size === 1;
  assert.ok(!isWritten, `refused though written: ${message}`);
  return false;
}

/**
 * Whether the instance cannot have known the version of a stream: it has not
 * read a list of targets while there were any of that version, and no set with
 * it was saved before the journal was read here.
 */
function isVersionUnseen(
  {everListed, savedVersions}: JournalInstance,
  {service, version}: OracleStream
): boolean {
  const key = `${service} ${version}`;
  return !everListed.has(key) && !savedVersions.has(key);
}

/**
 * Checks that the journal holds the sets of several versions that all instances
 * know, less what has been gone for the retention time: instances that restarted
 * count it for longer.
 */
export function checkJournaledSets(
  instances: readonly JournalInstance[],
  store: JournalStore,
  releases: JournalReleases,
  nowMs: number
): void {
  const [first, ...others] = instances;
  for (const [service, versions] of first?.sets ?? []) {
    const saved = store.versionsOf(service);
    const known = versions.filter(
      version =>
        others.every(({sets}) => sets.get(service)?.includes(version)) &&
        nowMs - releases.leftAtMs(service, version) < RETENTION_MS
    );
    if (known.length < 2) continue;
    const missing = known.filter(version => !saved.includes(version));
    const message = `${service}: ${known.join()} at ${nowMs}`;
    assert.deepEqual(missing, [], `not in the journal: ${message}`);
  }
}

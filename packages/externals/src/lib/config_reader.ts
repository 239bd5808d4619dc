import {
  applyConfigRecord,
  newerConfigState,
  configStateFromSnapshot,
} from '@applebend/core';
import {fail, ok} from '@applebend/utils';

import type {ConfigState} from '@applebend/core';
import type {Result} from '@applebend/utils';
import type {LogError, LogPage, LogService} from './log_client.js';

/** The log stream that holds configuration changes. @public */
export const CONFIG_STREAM = 'config';

/** The result of reading one page of the configuration stream. @public */
export interface ConfigRead {
  readonly state: ConfigState;
  /** Whether the state includes all records that the log had at the read. */
  readonly caughtUp: boolean;
  /**
   * When the last snapshot of the page was appended, by the log's clock in ms
   * since the epoch, or undefined if the page has none.
   */
  readonly snapshotAtMs: number | undefined;
  /** The same for the first record of the page. */
  readonly firstRecordAtMs: number | undefined;
  /** The log's clock at the read, in ms since the epoch. */
  readonly logNowMs: number;
}

/** Why a configuration could not be read. @public */
export type ConfigReadError =
  | LogError
  /** Records expired by retention before a snapshot covered them. */
  | {readonly kind: 'config_gap'; readonly message: string};

/**
 * Reads one page of the configuration stream and applies its records to
 * `state`. If records after `state` have expired, starts from a snapshot. The
 * daemon and the operator's tool both use it, so they reach the same state.
 *
 * @param waitMs - How long the log may wait for a first record.
 * @public
 */
export async function readConfigPage(
  log: LogService,
  state: ConfigState,
  waitMs: number
): Promise<Result<ConfigRead, ConfigReadError>> {
  const read = await log.read(CONFIG_STREAM, state.nextOffset, waitMs);
  if (!read.ok) return read;
  const page = read.value;
  const hasGap =
    page.earliest > state.nextOffset && page.end > state.nextOffset;
  return hasGap
    ? startFromSnapshot(log, state, page)
    : ok(applyPage(state, page));
}

function applyPage(state: ConfigState, page: LogPage): ConfigRead {
  let next = state;
  for (const record of page.records) next = applyConfigRecord(next, record);
  return {
    state: next,
    caughtUp: next.nextOffset >= page.end,
    snapshotAtMs: lastSnapshotTimeMs(page),
    firstRecordAtMs: page.records[0]?.appendedAtMs,
    logNowMs: page.nowMs,
  };
}

/**
 * Finds the first snapshot whose following records are all still on the log,
 * and returns its state, or `state` if that is newer.
 */
async function startFromSnapshot(
  log: LogService,
  state: ConfigState,
  firstPage: LogPage
): Promise<Result<ConfigRead, ConfigReadError>> {
  const {earliest} = firstPage;
  let page = firstPage;
  for (;;) {
    const snapshotState = findUsableSnapshot(page, earliest);
    if (snapshotState !== undefined) {
      // Only the times are taken from the page: the next read starts at the
      // snapshot's `nextOffset`, which may be on an earlier page.
      const from = newerConfigState(state, snapshotState);
      return ok({...applyPage(from, page), state: from, caughtUp: false});
    }
    const last = page.records[page.records.length - 1];
    if (last === undefined) {
      const message = `no snapshot follows offset ${earliest}`;
      return fail({kind: 'config_gap', message});
    }
    const read = await log.read(CONFIG_STREAM, last.offset + 1, 0);
    if (!read.ok) return read;
    page = read.value;
  }
}

/** Returns the state of the page's first snapshot that has no gap after it. */
function findUsableSnapshot(
  page: LogPage,
  earliest: number
): ConfigState | undefined {
  for (const {data} of page.records) {
    const state = configStateFromSnapshot(data);
    if (state !== undefined && state.nextOffset >= earliest) return state;
  }
  return undefined;
}

function lastSnapshotTimeMs(page: LogPage): number | undefined {
  let atMs: number | undefined;
  for (const record of page.records) {
    if (configStateFromSnapshot(record.data) === undefined) continue;
    atMs = record.appendedAtMs;
  }
  return atMs;
}

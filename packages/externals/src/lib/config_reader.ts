/** Reads the configuration stream: the daemon and the tool fold alike. */
import {
  applyConfigRecord,
  newerConfigState,
  configStateFromSnapshot,
} from '@applebend/core';
import {fail, ok} from '@applebend/utils';

import type {ConfigState} from '@applebend/core';
import type {Result} from '@applebend/utils';
import type {LogError, LogPage, LogService} from './log_client.js';

/** The stream that operators publish on. @public */
export const CONFIG_STREAM = 'config';

/** The state after a read, and whether the log had no more. @public */
export interface ConfigRead {
  readonly state: ConfigState;
  readonly caughtUp: boolean;
  /** When the last snapshot on the log was appended, by the log's clock. */
  readonly snapshotAtMs: number | undefined;
  /** When the first record of the page was appended. */
  readonly firstRecordAtMs: number | undefined;
  /** The log's clock at the read. */
  readonly logNowMs: number;
}

/** Why a configuration could not be read. @public */
export type ConfigReadError =
  | LogError
  /** Records were lost to retention and no snapshot covers them. */
  | {readonly kind: 'config_gap'; readonly message: string};

/** Folds what the log has after `state`, one page. @public */
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
 * Starts anew from the first snapshot from which every record that follows is
 * still on the log.
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

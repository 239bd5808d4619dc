/** Reads the configuration stream: the daemon and the tool fold alike. */
import {foldConfig, laterState, stateFromSnapshot} from '@applebend/core';
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
  /** The log's clock at the read. */
  readonly logNowMs: number;
}

/** Why a configuration could not be read. @public */
export type ConfigReadError =
  | LogError
  /** Records were lost to retention and no snapshot covers them. */
  | {readonly kind: 'config_gap'; readonly message: string};

/** Folds what the log has after `state`, one page. @public */
export async function readConfig(
  log: LogService,
  state: ConfigState,
  waitMs: number
): Promise<Result<ConfigRead, ConfigReadError>> {
  const read = await log.read(CONFIG_STREAM, state.nextOffset, waitMs);
  if (!read.ok) return read;
  const page = read.value;
  let next = state;
  if (page.earliest > state.nextOffset) {
    const found = latestSnapshot(page);
    if (found === undefined && page.end > page.earliest) {
      return fail({kind: 'config_gap', message: 'no snapshot on the log'});
    }
    if (found === undefined && state.nextOffset < page.end) {
      return fail({kind: 'config_gap', message: 'the log kept no record'});
    }
    next = laterState(state, found ?? state);
  }
  for (const record of page.records) next = foldConfig(next, record);
  return ok({
    state: next,
    caughtUp: next.nextOffset >= page.end,
    snapshotAtMs: snapshotTimeOf(page),
    logNowMs: page.nowMs,
  });
}

/**
 * The latest snapshot on the page from which every record that follows it is
 * still on the log.
 */
function latestSnapshot(page: LogPage): ConfigState | undefined {
  let latest: ConfigState | undefined;
  for (const record of page.records) {
    const state = stateFromSnapshot(record.data);
    if (state === undefined || state.nextOffset < page.earliest) continue;
    latest = latest === undefined ? state : laterState(latest, state);
  }
  return latest;
}

function snapshotTimeOf(page: LogPage): number | undefined {
  let atMs: number | undefined;
  for (const record of page.records) {
    if (stateFromSnapshot(record.data) === undefined) continue;
    atMs = record.appendedAtMs;
  }
  return atMs;
}

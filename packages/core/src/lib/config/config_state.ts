/**
 * The pure fold of the configuration stream. Every instance folds the same
 * records in offset order, so all accept and reject the same changes and no
 * lock is needed between operators.
 */
import {match} from 'ts-pattern';
import {applyDiff, configRecordSchema} from './config_record.js';
import {EMPTY_CONFIG, fleetConfigSchema} from './config_schema.js';

import type {
  ChangeOutcome,
  ConfigChange,
  ConfigSnapshot,
} from './config_record.js';
import type {FleetConfig} from './config_schema.js';

const FATES_KEPT = 128;

/** A record with its place on the log. @public */
export interface ConfigLogRecord {
  readonly offset: number;
  readonly data: unknown;
}

/** The configuration in force, and how it was reached. @public */
export interface ConfigState {
  /** Revision of the last accepted change; 0 before the first. */
  readonly revision: number;
  /** The next offset to fold. */
  readonly nextOffset: number;
  readonly config: FleetConfig;
  /** The fates of the latest changes, oldest first. */
  readonly outcomes: readonly ChangeOutcome[];
}

/** The state before any record. @public */
export const INITIAL_CONFIG_STATE: ConfigState = {
  revision: 0,
  nextOffset: 0,
  config: EMPTY_CONFIG,
  outcomes: [],
};

/** Folds one record; a record before `nextOffset` changes nothing. @public */
export function applyConfigRecord(
  state: ConfigState,
  entry: ConfigLogRecord
): ConfigState {
  if (entry.offset < state.nextOffset) return state;
  const parsed = configRecordSchema.safeParse(entry.data);
  if (!parsed.success) return {...state, nextOffset: entry.offset + 1};
  return match(parsed.data)
    .with({type: 'change'}, change => foldChange(state, entry.offset, change))
    .with({type: 'snapshot'}, () => ({
      ...state,
      nextOffset: entry.offset + 1,
    }))
    .exhaustive();
}

/**
 * Starts from a snapshot. Records from the snapshot's `nextOffset` on have
 * still to be folded. Returns undefined when the data is no valid snapshot.
 *
 * @public
 */
export function configStateFromSnapshot(
  data: unknown
): ConfigState | undefined {
  const parsed = configRecordSchema.safeParse(data);
  if (!parsed.success || parsed.data.type !== 'snapshot') return undefined;
  const {revision, nextOffset, config, fates} = parsed.data;
  return {revision, nextOffset, config, outcomes: fates};
}

/** The record that carries a state past the log's retention. @public */
export function configSnapshotOf(state: ConfigState): ConfigSnapshot {
  return {
    type: 'snapshot',
    revision: state.revision,
    nextOffset: state.nextOffset,
    config: state.config,
    fates: [...state.outcomes],
  };
}

/** The later of two states: an applied revision only grows. @public */
export function newerConfigState(a: ConfigState, b: ConfigState): ConfigState {
  if (a.nextOffset >= b.nextOffset) return a;
  return b;
}

function foldChange(
  state: ConfigState,
  offset: number,
  change: ConfigChange
): ConfigState {
  if (state.outcomes.some(fate => fate.changeId === change.changeId)) {
    return {...state, nextOffset: offset + 1};
  }
  if (change.base !== state.revision) {
    const reason = `conflict: base ${change.base}, current ${state.revision}`;
    return withFate(state, offset, change, reason);
  }
  const next = fleetConfigSchema.safeParse(applyDiff(state.config, change));
  if (!next.success) {
    const issue = next.error.issues[0];
    const reason = `invalid: ${issue?.path.join('.')}: ${issue?.message}`;
    return withFate(state, offset, change, reason);
  }
  const accepted = withFate(state, offset, change, '');
  return {...accepted, revision: offset + 1, config: next.data};
}

function withFate(
  state: ConfigState,
  offset: number,
  change: ConfigChange,
  reason: string
): ConfigState {
  const fate: ChangeOutcome = {
    changeId: change.changeId,
    offset,
    accepted: reason === '',
    reason,
  };
  const fates = [...state.outcomes, fate].slice(-FATES_KEPT);
  return {...state, nextOffset: offset + 1, outcomes: fates};
}

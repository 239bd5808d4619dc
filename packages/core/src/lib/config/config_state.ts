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

const MAX_OUTCOMES = 128;

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
  record: ConfigLogRecord
): ConfigState {
  if (record.offset < state.nextOffset) return state;
  const parsed = configRecordSchema.safeParse(record.data);
  if (!parsed.success) return {...state, nextOffset: record.offset + 1};
  return match(parsed.data)
    .with({type: 'change'}, change => applyChange(state, record.offset, change))
    .with({type: 'snapshot'}, () => ({
      ...state,
      nextOffset: record.offset + 1,
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

function applyChange(
  state: ConfigState,
  offset: number,
  change: ConfigChange
): ConfigState {
  if (state.outcomes.some(outcome => outcome.changeId === change.changeId)) {
    return {...state, nextOffset: offset + 1};
  }
  if (change.base !== state.revision) {
    const reason = `conflict: base ${change.base}, current ${state.revision}`;
    return withOutcome(state, offset, change, reason);
  }
  const next = fleetConfigSchema.safeParse(applyDiff(state.config, change));
  if (!next.success) {
    const issue = next.error.issues[0];
    const reason = `invalid: ${issue?.path.join('.')}: ${issue?.message}`;
    return withOutcome(state, offset, change, reason);
  }
  const accepted = withOutcome(state, offset, change, '');
  return {...accepted, revision: offset + 1, config: next.data};
}

function withOutcome(
  state: ConfigState,
  offset: number,
  change: ConfigChange,
  reason: string
): ConfigState {
  const outcome: ChangeOutcome = {
    changeId: change.changeId,
    offset,
    accepted: reason === '',
    reason,
  };
  const outcomes = [...state.outcomes, outcome].slice(-MAX_OUTCOMES);
  return {...state, nextOffset: offset + 1, outcomes};
}

import {match} from 'ts-pattern';
import {applyDiff, configRecordSchema} from './config_record.js';
import {EMPTY_CONFIG, fleetConfigSchema} from './config_schema.js';

import type {
  ChangeOutcome,
  ConfigChange,
  ConfigSnapshot,
} from './config_record.js';
import type {FleetConfig} from './config_schema.js';

/** Outcomes kept to detect repeated changes and for the change history. */
const MAX_OUTCOMES = 128;

/** A record of the configuration stream, not yet validated. @public */
export interface ConfigLogRecord {
  readonly offset: number;
  readonly data: unknown;
}

/** The configuration in force and the changes that led to it. @public */
export interface ConfigState {
  /** Offset of the last accepted change plus 1; 0 before the first. */
  readonly revision: number;
  /** Offset of the next record to apply. */
  readonly nextOffset: number;
  readonly config: FleetConfig;
  /** Outcomes of the latest changes, oldest first. */
  readonly outcomes: readonly ChangeOutcome[];
}

/** The state before the first record. @public */
export const INITIAL_CONFIG_STATE: ConfigState = {
  revision: 0,
  nextOffset: 0,
  config: EMPTY_CONFIG,
  outcomes: [],
};

/**
 * Applies one record of the configuration stream. Every instance applies the
 * same records in offset order, so all accept and reject the same changes, and
 * operators need no lock between them. A record before `nextOffset` changes
 * nothing. An invalid record only advances `nextOffset`. So does a snapshot,
 * which adds nothing to the records before it.
 *
 * @public
 */
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
 * Restores the state from a snapshot, or returns undefined if the data is not a
 * valid snapshot. Records from the snapshot's `nextOffset` on must be applied
 * to the result.
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

/**
 * Builds a snapshot record, so that the state outlives the records that the
 * log drops at the end of their retention.
 *
 * @public
 */
export function configSnapshotOf(state: ConfigState): ConfigSnapshot {
  return {
    type: 'snapshot',
    revision: state.revision,
    nextOffset: state.nextOffset,
    config: state.config,
    fates: [...state.outcomes],
  };
}

/**
 * Returns the state that includes more of the stream, so that the revision in
 * force never goes back.
 *
 * @public
 */
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

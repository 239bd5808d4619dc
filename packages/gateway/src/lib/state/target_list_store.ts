import {ok} from '@applebend/utils';

import type {TargetRecordEntry} from '@applebend/routing';
import type {Result} from '@applebend/utils';
import type {StoreCallError} from './store_contact.js';

/** Records of the list of targets. @public */
export interface TargetRecords {
  readonly entries: readonly TargetRecordEntry[];
  /** Offset at which to continue reading. */
  readonly next: number;
}

/** Reads the registrations of the targets. @public */
export interface TargetListStore {
  /** Era of the store, see `TargetList.storeEra`. */
  readonly era: number;
  /** Reads the newest record of each target. */
  readList(): Promise<Result<TargetRecords, StoreCallError>>;
  /**
   * Reads the records from an offset to the end, in the order in which they were
   * written. Fails with `history_gone` if they are not retained.
   */
  readSince(offset: number): Promise<Result<TargetRecords, StoreCallError>>;
  /** Adds a listener that is called when the store was restored from a copy. */
  onNewEra(listener: () => void): void;
}

/** Records of each target that an instance reads when it starts: some seconds. */
const HISTORY_PER_TARGET = 5;

/**
 * Reads the list, and the last records of each target in the order in which they
 * were written, of which the list shows the newest only.
 *
 * @internal
 */
export async function readWithHistory(
  store: TargetListStore
): Promise<Result<TargetRecords, StoreCallError>> {
  const list = await store.readList();
  if (!list.ok) return list;
  const {entries, next} = list.value;
  const from = Math.max(0, next - HISTORY_PER_TARGET * entries.length);
  if (next <= entries.length) return list;
  const history = await store.readSince(from);
  if (!history.ok) return list;
  const before = entries.filter(({offset}) => offset < from);
  return ok({
    entries: [...before, ...history.value.entries],
    next: history.value.next,
  });
}

/**
 * Several claim tables read one log at different speeds, and some restart from
 * its oldest retained record. An oracle that reads the whole log checks that no
 * two claims may send for the same key at once.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ClaimTable} from './claim_table.js';

import type {ClaimStreamRecord} from './claim_record.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 500);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);
const WINDOW_MS = 1000;
/** The log retains records for longer than the window. */
const RETENTION_MS = 2 * WINDOW_MS;
const READERS = 3;

interface LogRecord {
  readonly offset: number;
  readonly atMs: number;
  readonly data: {readonly records: readonly ClaimStreamRecord[]};
}

const action = fc.oneof(
  fc.record({
    type: fc.constant('claim' as const),
    key: fc.nat(2),
    repeat: fc.boolean(),
  }),
  fc.record({type: fc.constant('release' as const), pick: fc.nat(20)}),
  fc.record({type: fc.constant('done' as const), pick: fc.nat(20)}),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.integer({min: 1, max: 700}),
  }),
  fc.record({
    type: fc.constant('read' as const),
    reader: fc.nat(READERS - 1),
    count: fc.integer({min: 1, max: 6}),
  }),
  fc.record({
    type: fc.constant('restart' as const),
    reader: fc.nat(READERS - 1),
  })
);

function claim(claimId: string, key: number): ClaimStreamRecord {
  const keyHash = `k${key}`;
  const owner = claimId;
  const fingerprint = '';
  return {type: 'claim', claimId, customer: 'c', keyHash, fingerprint, owner};
}

function read(table: ClaimTable, log: readonly LogRecord[], count: number) {
  const from = table.nextOffset;
  for (const {offset, atMs, data} of log.slice(from, from + count)) {
    table.applyBatch(offset, atMs, data);
  }
}

test('claim fuzz: readers agree, and a key has one holder at a time', () => {
  fc.assert(
    fc.property(fc.array(action, {maxLength: 150, size: 'max'}), actions => {
      const log: LogRecord[] = [];
      const ids: string[] = [];
      const tables = Array.from({length: READERS}, () =>
        ClaimTable.create(WINDOW_MS)
      );
      let nowMs = 0;
      const append = (...records: ClaimStreamRecord[]) =>
        log.push({offset: log.length, atMs: nowMs, data: {records}});
      for (const a of actions) {
        if (a.type === 'claim') {
          const id = `id${ids.length}`;
          ids.push(id);
          append(claim(id, a.key));
          if (a.repeat) append(claim(id, a.key));
        } else if (a.type === 'release' && ids.length > 0) {
          const claimId = ids[a.pick % ids.length]!;
          if (hasWon(log, claimId)) append({type: 'release', claimId});
        } else if (a.type === 'done' && ids.length > 0) {
          const claimId = ids[a.pick % ids.length]!;
          const status = 200;
          append({type: 'done', claimId, status, contentType: '', body: ''});
        } else if (a.type === 'wait') {
          nowMs += a.ms;
        } else if (a.type === 'read') {
          read(tables[a.reader]!, log, a.count);
        } else if (a.type === 'restart') {
          const table = ClaimTable.create(WINDOW_MS);
          const firstRetained = log.findIndex(
            r => nowMs - r.atMs <= RETENTION_MS
          );
          table.skipTo(firstRetained < 0 ? log.length : firstRetained);
          tables[a.reader] = table;
        }
      }
      checkAgreement(tables, log, ids, nowMs);
    }),
    {numRuns: RUNS, seed: SEED}
  );
});

/** Owners release only claims that won, after reading the log to its end. */
function hasWon(log: readonly LogRecord[], claimId: string): boolean {
  const table = ClaimTable.create(WINDOW_MS);
  read(table, log, log.length);
  return table.verdictOf(claimId).type === 'won';
}

/**
 * Checks that a claim which won for any reader also won for a reader of the
 * whole log, and that between two winners of a key the first released it or
 * more than a window passed.
 */
function checkAgreement(
  tables: readonly ClaimTable[],
  log: readonly LogRecord[],
  ids: readonly string[],
  nowMs: number
): void {
  const fullTable = ClaimTable.create(WINDOW_MS);
  const lastWinByKey = new Map<string, {id: string; atMs: number}>();
  const released = new Set<string>();
  const claimedAtMs = new Map<string, number>();
  const winners = new Set<string>();
  for (const {offset, atMs, data} of log) {
    fullTable.applyBatch(offset, atMs, data);
    for (const record of data.records) {
      if (record.type === 'release') released.add(record.claimId);
      if (record.type !== 'claim' || claimedAtMs.has(record.claimId)) continue;
      claimedAtMs.set(record.claimId, atMs);
      if (fullTable.verdictOf(record.claimId).type !== 'won') continue;
      winners.add(record.claimId);
      const previous = lastWinByKey.get(record.keyHash);
      if (previous !== undefined) {
        const free =
          released.has(previous.id) || atMs - previous.atMs > WINDOW_MS;
        assert.ok(free, 'two claims hold the same key');
      }
      lastWinByKey.set(record.keyHash, {id: record.claimId, atMs});
    }
  }
  for (const table of tables) {
    read(table, log, log.length);
    for (const id of ids) {
      if (nowMs - (claimedAtMs.get(id) ?? 0) > WINDOW_MS) continue;
      const verdict = table.verdictOf(id).type;
      assert.notEqual(verdict, 'unseen', id);
      if (verdict === 'won')
        assert.ok(winners.has(id), `${id} won for one reader only`);
      // A restarted reader may have missed a winner and so ignore its release.
      if (released.size > 0) continue;
      assert.equal(verdict, winners.has(id) ? 'won' : 'lost', id);
    }
  }
}

/**
 * Several readers of one configuration stream while operators publish
 * conflicting changes, readers restart, fall behind and append snapshots, and
 * the log expires its oldest records.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {INITIAL_CONFIG_STATE, configSnapshotOf} from '@applebend/core';
import {ok} from '@applebend/utils';
import {readConfigPage} from './config_reader.js';

import type {ConfigState} from '@applebend/core';
import type {LogPage, LogRecord, LogService} from './log_client.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 400);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);
const READERS = 3;
/** Records in one page; so few that a reader needs several pages. */
const PAGE_SIZE = 4;

/** An in-memory log that can delete its oldest records. */
class MemoryLog implements LogService {
  records: LogRecord[] = [];
  end = 0;

  async append(_stream: string, data: unknown) {
    const offset = this.end;
    this.records.push({offset, appendedAtMs: offset, data: clone(data)});
    this.end += 1;
    return ok(offset);
  }

  async read(_stream: string, from: number) {
    const earliest = this.records[0]?.offset ?? this.end;
    const skip = Math.max(0, from - earliest);
    const records = this.records.slice(skip, skip + PAGE_SIZE);
    const page: LogPage = {records, earliest, end: this.end, nowMs: this.end};
    return ok(page);
  }

  /** Whether a new reader can start from a snapshot on the log. */
  hasUsableSnapshot(): boolean {
    const earliest = this.records[0]?.offset ?? this.end;
    return this.records.some(({data}) => {
      const {type, nextOffset} = data as {type: string; nextOffset?: number};
      return type === 'snapshot' && (nextOffset ?? -1) >= earliest;
    });
  }

  deleteOldest(count: number): void {
    this.records = this.records.slice(count);
  }
}

function clone<T>(data: T): T {
  return JSON.parse(JSON.stringify(data)) as T;
}

/** Returns a change of the configuration that adds the template `name`. */
function change(id: string, base: number, name: string) {
  const template = {classes: [{name: 'any'}]};
  return {
    type: 'change',
    changeId: id,
    base,
    author: 'operator',
    upserts: {templates: {[name]: template}},
    removals: {},
  };
}

const action = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('publish' as const),
      reader: fc.nat(READERS - 1),
      /** As if the outcome of the first append had been unknown. */
      twice: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('read' as const),
      reader: fc.nat(READERS - 1),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('snapshot' as const),
      reader: fc.nat(READERS - 1),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('restart' as const),
      reader: fc.nat(READERS - 1),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('delete_oldest' as const),
      count: fc.integer({min: 1, max: 6}),
    }),
  }
);

test('config fuzz: readers agree on each revision and never go back', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(action, {maxLength: 80, size: 'max'}),
      async actions => {
        const log = new MemoryLog();
        const states = Array.from(
          {length: READERS},
          (): ConfigState => INITIAL_CONFIG_STATE
        );
        /** The configuration that readers saw at each revision. */
        const configByRevision = new Map<number, string>();
        let sequence = 0;
        const read = async (index: number): Promise<boolean> => {
          const before = states[index]!;
          const result = await readConfigPage(log, before, 0);
          if (!result.ok) {
            assert.equal(result.err.kind, 'config_gap');
            assert.ok(
              !log.hasUsableSnapshot(),
              'reported a gap despite a usable snapshot'
            );
            return false;
          }
          const {state, caughtUp} = result.value;
          assert.ok(
            state.revision >= before.revision,
            'a reader went back to an older revision'
          );
          const text = JSON.stringify(state.config);
          const expected = configByRevision.get(state.revision) ?? text;
          assert.equal(
            text,
            expected,
            `readers differ at revision ${state.revision}`
          );
          configByRevision.set(state.revision, text);
          states[index] = state;
          return caughtUp;
        };
        for (const a of actions) {
          if (a.type === 'publish') {
            const {revision} = states[a.reader]!;
            sequence += 1;
            const record = change(`c${sequence}`, revision, `t${sequence}`);
            await log.append('config', record);
            if (a.twice) await log.append('config', record);
          } else if (a.type === 'read') {
            await read(a.reader);
          } else if (a.type === 'snapshot') {
            const state = states[a.reader]!;
            if (state.nextOffset > 0) {
              await log.append('config', configSnapshotOf(state));
            }
          } else if (a.type === 'restart') {
            states[a.reader] = INITIAL_CONFIG_STATE;
          } else {
            log.deleteOldest(a.count);
          }
        }
        const final: ConfigState[] = [];
        for (let index = 0; index < READERS; index++) {
          let caughtUp = false;
          for (let i = 0; i < 200 && !caughtUp; i++) {
            caughtUp = await read(index);
          }
          if (caughtUp) final.push(states[index]!);
        }
        for (const state of final) {
          assert.equal(state.revision, final[0]?.revision);
          assert.deepEqual(state.config, final[0]?.config);
        }
      }
    ),
    {numRuns: RUNS, seed: SEED}
  );
});

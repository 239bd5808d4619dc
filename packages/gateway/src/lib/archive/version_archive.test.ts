import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  ServiceVersions,
  StreamVersions,
  VersionJournal,
} from '@applebend/routing';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sleep, systemClock} from '@applebend/utils';
import {MemoryArchive} from '../../testing/memory_archive.js';
import {RECORD_TOPIC} from '../ports.js';
import {decodeJournalRecord, encodeJournalRecord} from './journal_codec.js';
import {JournalReadiness} from './journal_readiness.js';
import {VersionArchive} from './version_archive.js';

import type {FleetConfig, JournalRecord} from '@applebend/routing';

const TOPIC = RECORD_TOPIC.versions;
const log = Logger.create(LOG_LEVEL.error, {});
/** Longer than two batches and the delay before an instance begins to write. */
const SAVED_MS = 700;
/** 30 s of batches by two writers. */
const MAX_RECORDS = 300;

/** What one instance knows, with its archive. */
class Instance {
  readonly config = {routes: {longestTimeoutMs: 3000}} as FleetConfig;
  readonly instanceCount = 1;
  readonly streamVersions = StreamVersions.create();
  readonly targets = {versions: ServiceVersions.create()};
  readonly journalReadiness = JournalReadiness.create();
  readonly versionJournal: VersionJournal;
  readonly archive: VersionArchive;
  readonly appends = {saved: 0, failed: 0};

  constructor(store: MemoryArchive, instance = 'entry-1') {
    this.versionJournal = VersionJournal.create({
      instance,
      random: Math.random,
      services: this.targets.versions,
      streams: this.streamVersions,
    });
    this.archive = VersionArchive.create({
      archive: store,
      state: this,
      clock: systemClock,
      log,
      onAppended: isSaved => {
        this.appends[isSaved ? 'saved' : 'failed'] += 1;
      },
    });
    this.archive.start(false);
  }

  see(...versions: string[]): void {
    const nowMs = systemClock.monotonicMs();
    for (const version of versions) {
      this.targets.versions.add({service: 'llm', version, ageMs: 0}, nowMs);
    }
  }

  begin(attempt: number, version: string): void {
    const nowMs = systemClock.monotonicMs();
    this.streamVersions.add(attempt, version, nowMs);
    this.versionJournal.onStream(attempt, version, nowMs);
  }

  get services(): readonly string[] | undefined {
    return this.targets.versions.sets(systemClock.monotonicMs()).get('llm');
  }
}

async function withInstances(
  store: MemoryArchive,
  run: (start: (instance?: string) => Instance) => Promise<void>
): Promise<void> {
  const instances: Instance[] = [];
  try {
    await run(instance => {
      const started = new Instance(store, instance);
      instances.push(started);
      return started;
    });
  } finally {
    for (const {archive} of instances) archive.stop();
  }
}

function put(store: MemoryArchive, record: JournalRecord): void {
  const {key, value} = encodeJournalRecord(record);
  store.put(TOPIC, key, value);
}

const twoVersions: JournalRecord = {
  kind: 'service',
  service: 'llm',
  versions: ['v1', 'v2'],
};

const streams = (version: string, attempts: number[]): JournalRecord => ({
  kind: 'streams',
  attempts: new Map([[version, attempts]]),
});

test('what an instance saves is known to the next one', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const first = start();
    first.see('v1', 'v2');
    first.begin(2 ** 52 + 1, 'v1');
    await sleep(SAVED_MS);
    first.begin(2 ** 52 + 2, 'v2');
    await sleep(SAVED_MS);
    first.archive.stop();
    const next = start();
    await sleep(100);
    assert.equal(next.journalReadiness.isComplete, true);
    assert.deepEqual(next.services, ['v1', 'v2']);
    assert.equal(next.streamVersions.versionOf(2 ** 52 + 1), 'v1');
    assert.equal(next.streamVersions.versionOf(2 ** 52 + 2), 'v2');
  });
});

test('with one version its set and streams are written, each once', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const instance = start();
    instance.see('v1');
    for (let i = 0; i < 20; i++) instance.begin(i, 'v1');
    await sleep(SAVED_MS);
    assert.deepEqual(store.calls, {newest: 1, read: 0, append: 2});
    await sleep(SAVED_MS);
    assert.equal(store.calls.append, 2);
    instance.archive.stop();
    const next = start();
    next.see('v2');
    await sleep(100);
    assert.equal(next.streamVersions.versionOf(19), 'v1');
    assert.deepEqual(next.services, ['v1', 'v2']);
  });
});

test('streams that begin steadily cost five appends a second', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const instance = start();
    instance.see('v1', 'v2');
    await sleep(SAVED_MS);
    const before = store.calls.append;
    const untilMs = performance.now() + 2000;
    for (let i = 0; performance.now() < untilMs; i++) {
      instance.begin(i, i % 2 === 0 ? 'v1' : 'v2');
      await sleep(10);
    }
    const count = store.calls.append - before;
    // Five a second, and one more because the time begins with a batch.
    assert.ok(count > 0 && count <= 2 * 5 + 1, `${count} appends in 2 s`);
  });
});

// After a store outage several instances write at once, each all that it knows.
test('a writer that steps down leaves the rest of its batch to the other', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const instance = start('entry-2');
    const append = store.append.bind(store);
    store.append = async (topic, key, value) => {
      const result = await append(topic, key, value);
      const nowMs = systemClock.monotonicMs();
      instance.versionJournal.onPeerSaved('entry-1', nowMs);
      return result;
    };
    for (let i = 0; i < 20_000; i++) instance.begin(i, 'v1');
    instance.see('v1', 'v2');
    await sleep(SAVED_MS);
    assert.equal(store.calls.append, 1);
  });
});

test('streams that could not be saved are saved once the store is back', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const instance = start();
    instance.see('v1', 'v2');
    await sleep(SAVED_MS);
    store.isDown = true;
    instance.begin(7, 'v1');
    await sleep(2500);
    assert.ok(instance.appends.failed > 0);
    store.isDown = false;
    // A writer that gave up takes over again after 1 s.
    await sleep(2000);
    const saved = store.records(TOPIC).flatMap(archived => {
      const record = decodeJournalRecord(archived);
      return record?.kind === 'streams'
        ? [...(record.attempts.get('v1') ?? [])]
        : [];
    });
    assert.ok(saved.includes(7), `saved: ${saved.join()}`);
  });
});

test('all is saved again after the store was restored from an older copy', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const instance = start();
    instance.see('v1', 'v2');
    instance.begin(7, 'v1');
    await sleep(SAVED_MS);
    store.restoreEmpty();
    // Where it does not write at that moment, it takes over after 1 s.
    await sleep(2000);
    instance.archive.stop();
    const next = start();
    await sleep(100);
    assert.deepEqual(next.services, ['v1', 'v2']);
    assert.equal(next.streamVersions.versionOf(7), 'v1');
  });
});

test('a store that is down at the start is asked again, nothing is written before', async () => {
  const store = MemoryArchive.create();
  put(store, twoVersions);
  put(store, streams('v1', [7]));
  store.isDown = true;
  await withInstances(store, async start => {
    const instance = start();
    instance.see('v2', 'v3');
    await sleep(400);
    assert.equal(instance.journalReadiness.isComplete, false);
    assert.equal(store.calls.append, 0);
    store.isDown = false;
    await sleep(1000);
    assert.equal(instance.journalReadiness.isComplete, true);
    assert.equal(instance.streamVersions.versionOf(7), 'v1');
    assert.deepEqual(instance.services, ['v1', 'v2', 'v3']);
  });
});

test('malformed records are ignored', async () => {
  const store = MemoryArchive.create();
  put(store, twoVersions);
  store.put(TOPIC, 'streams', Buffer.from('malformed'));
  put(store, streams('v1', [7]));
  store.put(TOPIC, 'other', Buffer.from('malformed'));
  put(store, streams('v2', [8]));
  await withInstances(store, async start => {
    const {streamVersions, journalReadiness} = start();
    await sleep(100);
    assert.equal(journalReadiness.isComplete, true);
    assert.equal(streamVersions.versionOf(7), 'v1');
    assert.equal(streamVersions.versionOf(8), 'v2');
  });
});

test('of a long journal the part is read that the retention time can hold', async () => {
  const store = MemoryArchive.create();
  put(store, twoVersions);
  for (let i = 0; i < 2 * MAX_RECORDS; i++) put(store, streams('v1', [i]));
  await withInstances(store, async start => {
    const {streamVersions} = start();
    await sleep(100);
    assert.equal(streamVersions.versionOf(MAX_RECORDS - 1), undefined);
    assert.equal(streamVersions.versionOf(MAX_RECORDS), 'v1');
    assert.deepEqual(store.calls, {newest: 1, read: 1, append: 0});
  });
});

test('a journal of more than one page is read to its end', async () => {
  const store = MemoryArchive.create();
  store.maxPageRecords = 2;
  put(store, twoVersions);
  for (let i = 0; i < 5; i++) put(store, streams('v1', [i]));
  await withInstances(store, async start => {
    const {streamVersions} = start();
    await sleep(100);
    for (let i = 5; i < 10; i++) put(store, streams('v2', [i]));
    await sleep(1500);
    assert.equal(streamVersions.versionOf(4), 'v1');
    assert.equal(streamVersions.versionOf(9), 'v2');
  });
});

// Peers sent their notices of these streams before the instance could hear them.
test('streams that a peer saves while an instance starts are read as well', async () => {
  const store = MemoryArchive.create();
  put(store, twoVersions);
  put(store, streams('v1', [7]));
  await withInstances(store, async start => {
    const {streamVersions, journalReadiness} = start();
    await sleep(100);
    assert.equal(journalReadiness.isComplete, true);
    put(store, streams('v2', [8]));
    await sleep(1500);
    assert.equal(streamVersions.versionOf(7), 'v1');
    assert.equal(streamVersions.versionOf(8), 'v2');
    const {newest, read} = store.calls;
    assert.deepEqual({newest, read}, {newest: 1, read: 2});
  });
});

// An instance that was frozen or cut off misses the notices of its peers.
test('what peers saved later is read when it is asked for, at a bounded rate', async () => {
  const store = MemoryArchive.create();
  await withInstances(store, async start => {
    const {streamVersions, journalReadiness} = start();
    await sleep(1500);
    store.dropBefore(TOPIC, 2);
    for (let i = 0; i < 5; i++) put(store, streams('v1', [i]));
    const before = store.calls.read;
    await journalReadiness.catchUp();
    assert.equal(streamVersions.versionOf(0), undefined);
    assert.equal(streamVersions.versionOf(4), 'v1');
    const untilMs = performance.now() + 1000;
    while (performance.now() < untilMs) {
      await Promise.all([
        journalReadiness.catchUp(),
        journalReadiness.catchUp(),
      ]);
    }
    // One where history is gone, the first, and four a second.
    const reads = store.calls.read - before;
    assert.ok(reads <= 2 + 1 + 4, `${reads} reads`);
  });
});

test('after a restore of the store later records are read from its start', async () => {
  const store = MemoryArchive.create();
  for (let i = 0; i < 10; i++) put(store, streams('v1', [i]));
  await withInstances(store, async start => {
    const {streamVersions, journalReadiness} = start();
    await sleep(100);
    store.restoreEmpty();
    put(store, streams('v2', [20]));
    await journalReadiness.catchUp();
    assert.equal(streamVersions.versionOf(20), 'v2');
  });
});

test('where the store dropped history, the rest is read', async () => {
  const store = MemoryArchive.create();
  put(store, twoVersions);
  for (let i = 0; i < 10; i++) put(store, streams('v1', [i]));
  store.dropBefore(TOPIC, 6);
  await withInstances(store, async start => {
    const {streamVersions, journalReadiness} = start();
    await sleep(100);
    assert.equal(journalReadiness.isComplete, true);
    assert.equal(streamVersions.versionOf(4), undefined);
    assert.equal(streamVersions.versionOf(5), 'v1');
    assert.equal(streamVersions.versionOf(9), 'v1');
  });
});

test('the journal is read as soon as another call finds the store available', async () => {
  const store = MemoryArchive.create();
  store.isDown = true;
  await withInstances(store, async start => {
    const instance = start();
    // By then the pause between two reads is 1 s or longer.
    await sleep(2200);
    store.comeBack();
    await sleep(400);
    assert.equal(instance.versionJournal.isRead, true);
  });
});

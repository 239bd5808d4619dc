import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WriterSelection} from './writer_selection.js';

const create = (instance = 'i5', fraction = 0.5) =>
  WriterSelection.create({instance, random: () => fraction});

/** A writer since time 0. */
function createWriter(instance?: string): WriterSelection {
  const selection = create(instance, 0);
  selection.onUnsaved(0);
  selection.update(9, 0);
  assert.equal(selection.isWriter, true);
  return selection;
}

/** The first time at which the instance is the writer. */
function takeoverMs(selection: WriterSelection, instances: number): number {
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 10) {
    selection.update(instances, nowMs);
    if (selection.isWriter) return nowMs;
  }
  return Infinity;
}

test('an instance without anything to save does not become the writer', () => {
  assert.equal(takeoverMs(create(), 9), Infinity);
});

test('the delay of a takeover grows with the fleet, up to 2 s', () => {
  for (const [instances, expectedMs] of [
    [9, 90],
    [82, 820],
    [350, 1000],
  ]) {
    const selection = create();
    selection.onUnsaved(0);
    assert.equal(takeoverMs(selection, instances), expectedMs);
  }
});

test('a takeover comes 1 s and the delay after the last save that was heard', () => {
  const selection = create();
  selection.onPeerSaved('i1', 500);
  selection.onUnsaved(600);
  selection.onPeerSaved('i1', 700);
  selection.onUnsaved(1000);
  assert.equal(takeoverMs(selection, 9), 1790);
});

// Where streams are rare, each of them would make another instance the writer.
test('a writer that was silent has 1 s to save what is new', () => {
  const selection = create();
  selection.onPeerSaved('i1', 0);
  selection.onUnsaved(5000);
  assert.equal(takeoverMs(selection, 9), 6090);
});

test('of two writers the one with the greater id steps down', () => {
  const writer = createWriter('i5');
  writer.onPeerSaved('i6', 10);
  assert.equal(writer.isWriter, true);
  writer.onPeerSaved('i4', 20);
  assert.equal(writer.isWriter, false);
});

// A writer that cannot reach the store would keep others from saving.
test('a writer steps down after 1 s without a successful append', () => {
  const writer = createWriter();
  writer.onAppend(100);
  writer.onFailed(300);
  writer.onAppend(300);
  writer.onFailed(1099);
  assert.equal(writer.isWriter, true);
  writer.onFailed(1100);
  assert.equal(writer.isWriter, false);
  assert.equal(takeoverMs(writer, 9), 2100);
});

test('a writer whose append has no result for 1 s steps down', () => {
  const writer = createWriter();
  writer.onAppend(100);
  writer.update(9, 1099);
  assert.equal(writer.isWriter, true);
  writer.update(9, 1100);
  assert.equal(writer.isWriter, false);
});

test('a successful append begins the 1 s anew', () => {
  const writer = createWriter();
  writer.onAppend(0);
  writer.onAppended(true, 900);
  writer.update(9, 1800);
  assert.equal(writer.isWriter, true);
  writer.onAppended(false, 1850);
  writer.update(9, 9000);
  assert.equal(writer.isWriter, true);
});

// Where the store is out of its reach, it would keep others from saving.
test('a writer that gave up does not take over at once for 1 s', () => {
  const writer = createWriter();
  writer.onAppend(0);
  writer.onFailed(1000);
  writer.takeOverAtOnce(1999);
  assert.equal(writer.isWriter, false);
  writer.takeOverAtOnce(2000);
  assert.equal(writer.isWriter, true);
});

// Two writers that hear each other would alternate with each append.
test('an instance takes over at once no more than once a second', () => {
  const selection = create();
  selection.takeOverAtOnce(0);
  assert.equal(selection.isWriter, true);
  selection.onPeerSaved('i4', 10);
  selection.takeOverAtOnce(999);
  assert.equal(selection.isWriter, false);
  selection.takeOverAtOnce(1000);
  assert.equal(selection.isWriter, true);
});

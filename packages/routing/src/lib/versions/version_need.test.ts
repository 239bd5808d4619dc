import assert from 'node:assert/strict';
import {test} from 'node:test';
import {resumedVersionNeed} from './version_need.js';

const UNKNOWN = {
  version: undefined,
  serviceVersions: ['v2'],
  isHistoryKnown: true,
  isJournalRead: true,
  isListCurrent: true,
};
const SETS = [['v2'], ['v1', 'v2']];

test('a stream of known version continues only there', () => {
  for (const serviceVersions of SETS) {
    for (const isJournalRead of [true, false]) {
      const stream = {...UNKNOWN, version: 'v1', serviceVersions};
      const need = resumedVersionNeed({...stream, isJournalRead});
      assert.deepEqual(need, {kind: 'exact', version: 'v1'});
    }
  }
});

// Guards against text joined from two versions.
test('a stream of unknown version continues only if its service had one', () => {
  const serviceVersions = ['v1', 'v2'];
  const several = resumedVersionNeed({...UNKNOWN, serviceVersions});
  assert.equal(several.kind, 'unknown');
  const one = resumedVersionNeed(UNKNOWN);
  assert.deepEqual(one, {kind: 'inferred', version: 'v2'});
  const none = resumedVersionNeed({...UNKNOWN, serviceVersions: []});
  assert.equal(none.kind, 'unknown');
});

// The service may have had another version before this instance started.
test('a stream of unknown version continues nowhere without a record of its service', () => {
  const need = resumedVersionNeed({...UNKNOWN, isHistoryKnown: false});
  assert.equal(need.kind, 'unknown');
});

// The list of targets may show one version when the others have just left.
test('a stream of unknown version waits until the journal has been read', () => {
  for (const serviceVersions of SETS) {
    const stream = {...UNKNOWN, serviceVersions, isJournalRead: false};
    const need = resumedVersionNeed(stream);
    assert.equal(need.kind, 'pending');
  }
});

// Another version may have joined, and begun streams, since the list was read.
test('a stream of unknown version waits until the list of targets is current', () => {
  const need = resumedVersionNeed({...UNKNOWN, isListCurrent: false});
  assert.equal(need.kind, 'unconfirmed');
});

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {resumedVersionNeed} from './version_need.js';

test('a stream of known version continues only there', () => {
  for (const hasSeveralVersions of [true, false]) {
    for (const isJournalRead of [true, false]) {
      const need = resumedVersionNeed({
        version: 'v1',
        hasSeveralVersions,
        isJournalRead,
        isListCurrent: true,
      });
      assert.deepEqual(need, {kind: 'exact', version: 'v1'});
    }
  }
});

// Guards against text joined from two versions.
test('a stream of unknown version continues only if its service had one', () => {
  const unknown = {
    version: undefined,
    isJournalRead: true,
    isListCurrent: true,
  };
  const several = resumedVersionNeed({...unknown, hasSeveralVersions: true});
  assert.equal(several.kind, 'unknown');
  const one = resumedVersionNeed({...unknown, hasSeveralVersions: false});
  assert.equal(one.kind, 'any');
});

// The list of targets may show one version when the others have just left.
test('a stream of unknown version waits until the journal has been read', () => {
  for (const hasSeveralVersions of [true, false]) {
    const need = resumedVersionNeed({
      version: undefined,
      hasSeveralVersions,
      isJournalRead: false,
      isListCurrent: true,
    });
    assert.equal(need.kind, 'pending');
  }
});

// Another version may have joined, and begun streams, since the list was read.
test('a stream of unknown version waits until the list of targets is current', () => {
  const need = resumedVersionNeed({
    version: undefined,
    hasSeveralVersions: false,
    isJournalRead: true,
    isListCurrent: false,
  });
  assert.equal(need.kind, 'unconfirmed');
});

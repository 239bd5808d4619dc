/** The subcommand that reads logs. */
import {readFileSync} from 'node:fs';
import {fail, messageOf, ok} from '@applebend/utils';
import {describeEntry, parseLogLine, storyOf} from '../log_story.js';

import type {Result} from '@applebend/utils';
import type {LogEntry} from '../log_story.js';
import type {ToolError} from '../outcome.js';
import type {Command} from './command.js';

/** @public */
export const explainCommand: Command = {
  usage: 'explain REQUEST-ID FILE...',
  summary: "one request's story out of the instances' logs",
  needs: ['REQUEST-ID', 'FILE'],
  takesMore: true,
  run: async ([requestId = '', ...files]) => {
    const entries: LogEntry[] = [];
    for (const file of files) {
      const read = readLog(file);
      if (!read.ok) return read;
      entries.push(...read.value);
    }
    const story = storyOf(requestId, entries);
    if (story.length === 0) {
      const message = `no line names request ${requestId}`;
      return fail({kind: 'request_unknown', message});
    }
    return ok({lines: story.map(describeEntry), data: story});
  },
};

function readLog(file: string): Result<LogEntry[], ToolError> {
  try {
    const lines = readFileSync(file, 'utf8').split('\n');
    return ok(lines.flatMap(line => parseLogLine(line) ?? []));
  } catch (err) {
    return fail({kind: 'file_invalid', message: messageOf(err)});
  }
}

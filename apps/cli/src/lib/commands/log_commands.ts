/** The subcommands that read logs. */
import {readFileSync} from 'node:fs';
import {fairnessWindows} from '@applebend/routing';
import {fail, errorMessage, ok} from '@applebend/utils';
import {describeEntry, parseLogLine, storyOf} from '../log_story.js';
import {timelineOf} from '../use_timeline.js';

import type {FairnessWindow} from '@applebend/routing';
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
    const read = readLogs(files);
    if (!read.ok) return read;
    const story = storyOf(requestId, read.value);
    if (story.length === 0) {
      const message = `no line names request ${requestId}`;
      return fail({kind: 'request_unknown', message});
    }
    return ok({lines: story.map(describeEntry), data: story});
  },
};

/** Seconds of a window; the shortest in which waiting all through counts. */
const WINDOW_S = 6;
const SHOWN_WINDOWS = 12;

/** @public */
export const fairnessCommand: Command = {
  usage: 'fairness FILE...',
  summary: 'how close waiting customers came to half of the best served',
  needs: ['FILE'],
  takesMore: true,
  run: async files => {
    const read = readLogs(files);
    if (!read.ok) return read;
    const found = timelineOf(read.value);
    if (found === undefined) {
      const message = 'no line tells what customers used';
      return fail({kind: 'file_invalid', message});
    }
    const windows = fairnessWindows(found.timeline, WINDOW_S);
    const data = windows.sort((a, b) => a.ratio - b.ratio);
    const under = data.filter(({ratio}) => ratio < 1).length;
    const lines = [
      `${windows.length} windows of a waiting customer, ${under} under half`,
      ...data.slice(0, SHOWN_WINDOWS).map(w => describeWindow(w, found.startS)),
    ];
    return ok({lines, data});
  },
};

function describeWindow(window: FairnessWindow, startS: number): string {
  const {second, customer, asked, given, best, bestGiven, ratio} = window;
  const time = new Date((startS + second) * 1000).toISOString();
  const own = `${customer} asked ${asked} given ${given}`;
  return `${time}  ratio ${ratio.toFixed(2)}  ${own}  ${best} given ${bestGiven}`;
}

function readLogs(files: readonly string[]): Result<LogEntry[], ToolError> {
  const entries: LogEntry[] = [];
  for (const file of files) {
    const read = readLog(file);
    if (!read.ok) return read;
    entries.push(...read.value);
  }
  return ok(entries);
}

function readLog(file: string): Result<LogEntry[], ToolError> {
  try {
    const lines = readFileSync(file, 'utf8').split('\n');
    return ok(lines.flatMap(line => parseLogLine(line) ?? []));
  } catch (err) {
    return fail({kind: 'file_invalid', message: errorMessage(err)});
  }
}

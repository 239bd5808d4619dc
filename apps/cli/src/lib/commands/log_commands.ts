import {readFileSync} from 'node:fs';
import {fairnessWindows} from '@applebend/routing';
import {fail, errorMessage, ok} from '@applebend/utils';
import {
  formatLogLine,
  parseLogLine,
  explainRequest,
} from '../explain_request.js';
import {usageTimelineOf} from '../usage_timeline.js';

import type {FairnessWindow} from '@applebend/routing';
import type {Result} from '@applebend/utils';
import type {LogLine} from '../explain_request.js';
import type {ToolError} from '../command_result.js';
import type {Command} from './command.js';

/** Shows the log lines that explain a request. @public */
export const explainCommand: Command = {
  usage: 'explain REQUEST-ID|FINGERPRINT FILE...',
  summary: "one request's story out of the instances' logs",
  requiredArgs: ['REQUEST-ID', 'FILE'],
  lastArgRepeats: true,
  run: async ([requestId = '', ...files]) => {
    const read = readLogs(files);
    if (!read.ok) return read;
    const explanation = explainRequest(requestId, read.value);
    if (explanation.length === 0) {
      const message = `no line names request ${requestId}`;
      return fail({kind: 'request_unknown', message});
    }
    return ok({lines: explanation.map(formatLogLine), data: explanation});
  },
};

/**
 * Length of a window: the shortest time for which a customer must be refused in
 * each second to count as waiting.
 */
const WINDOW_S = 6;
const MAX_PRINTED_WINDOWS = 12;

/** Shows the windows that are least fair to a waiting customer. @public */
export const fairnessCommand: Command = {
  usage: 'fairness FILE...',
  summary: 'how close waiting customers came to half of the best served',
  requiredArgs: ['FILE'],
  lastArgRepeats: true,
  run: async files => {
    const read = readLogs(files);
    if (!read.ok) return read;
    const usage = usageTimelineOf(read.value);
    if (usage === undefined) {
      const message = 'no line tells what customers used';
      return fail({kind: 'file_invalid', message});
    }
    const windows = fairnessWindows(usage.timeline, WINDOW_S);
    const data = windows.sort((a, b) => a.ratio - b.ratio);
    const belowHalf = data.filter(({ratio}) => ratio < 1).length;
    const lines = [
      `${windows.length} windows of a waiting customer, ${belowHalf} under half`,
      ...data
        .slice(0, MAX_PRINTED_WINDOWS)
        .map(w => formatWindow(w, usage.startS)),
    ];
    return ok({lines, data});
  },
};

function formatWindow(window: FairnessWindow, startS: number): string {
  const {second, customer, asked, given, best, bestGiven, ratio} = window;
  const time = new Date((startS + second) * 1000).toISOString();
  const ownUsage = `${customer} asked ${asked} given ${given}`;
  return `${time}  ratio ${ratio.toFixed(2)}  ${ownUsage}  ${best} given ${bestGiven}`;
}

function readLogs(files: readonly string[]): Result<LogLine[], ToolError> {
  const logLines: LogLine[] = [];
  for (const file of files) {
    const read = readLog(file);
    if (!read.ok) return read;
    logLines.push(...read.value);
  }
  return ok(logLines);
}

function readLog(file: string): Result<LogLine[], ToolError> {
  try {
    const lines = readFileSync(file, 'utf8').split('\n');
    return ok(lines.flatMap(line => parseLogLine(line) ?? []));
  } catch (err) {
    return fail({kind: 'file_invalid', message: errorMessage(err)});
  }
}

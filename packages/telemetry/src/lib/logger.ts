import {createConsola, LogLevels} from 'consola/basic';
import {ignoreErrorEvents, LogOutput} from './log_output.js';

import type {ConsolaInstance, LogObject} from 'consola/basic';
import type {OutputStream} from './log_output.js';

/** The log levels, most severe first. @public */
export const LOG_LEVEL = {
  error: 'error',
  warn: 'warn',
  info: 'info',
  debug: 'debug',
} as const;

/** One of the log levels. @public */
export type LogLevel = (typeof LOG_LEVEL)[keyof typeof LOG_LEVEL];

/**
 * By default consola drops lines equal to the previous one, from the seventh
 * within a second on. The JSON lines had no count of them, and an output that
 * had failed was not noticed. `throttleMin` holds when the clock steps back.
 */
const WRITE_REPEATED_LINES = {throttle: 0, throttleMin: Infinity} as const;

/** Fields of a log line; lines of one request share `requestId`. @public */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Writes structured logs, as JSON lines or, on a terminal, as readable text.
 * Each line has the name of an event, the fields of the logger and its own.
 *
 * @public
 */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    /** Added to each line. */
    private readonly fields: LogFields
  ) {}

  /**
   * Creates a logger that writes to standard error by default. Lines that the
   * stream does not take go to the fallback, by default the other standard stream.
   */
  static create(
    level: LogLevel,
    fields: LogFields,
    stream: NodeJS.WriteStream = process.stderr,
    fallback?: OutputStream
  ): Logger {
    ignoreErrorEvents(stream);
    const options = {level: LogLevels[level], stdout: stream};
    if (stream.isTTY) return new Logger(createConsola(options), fields);
    const reporters = [{log: jsonLineWriter(stream, fields, fallback)}];
    const jsonOptions = {...options, reporters, ...WRITE_REPEATED_LINES};
    return new Logger(createConsola(jsonOptions), fields);
  }

  /** Returns a logger that adds further fields to each line. */
  withFields(fields: LogFields): Logger {
    return new Logger(this.sink, {...this.fields, ...fields});
  }

  error(event: string, fields: LogFields = {}): void {
    this.sink.error(event, {...this.fields, ...fields});
  }

  warn(event: string, fields: LogFields = {}): void {
    this.sink.warn(event, {...this.fields, ...fields});
  }

  info(event: string, fields: LogFields = {}): void {
    this.sink.info(event, {...this.fields, ...fields});
  }

  debug(event: string, fields: LogFields = {}): void {
    this.sink.debug(event, {...this.fields, ...fields});
  }
}

/**
 * Returns a function that writes log lines as JSON. It drops lines instead of
 * waiting for a slow reader. The next line that is written has the number of
 * those that were dropped, or that no stream took, in `droppedLines`.
 */
function jsonLineWriter(
  stream: NodeJS.WriteStream,
  ownFields: LogFields,
  fallback?: OutputStream
): (logObject: LogObject) => void {
  const failureLine = (err: Error) =>
    encodeLine(new Date(), 'error', 'log output failed', {
      ...ownFields,
      code: (err as NodeJS.ErrnoException).code,
      message: err.message,
    });
  const output = LogOutput.create(stream, failureLine, fallback);
  return logObject => {
    const {date, type} = logObject;
    const [event, fields] = logObject.args as [string, LogFields | undefined];
    const lost = output.takeLost();
    const droppedLines = lost > 0 ? lost : undefined;
    const line = encodeLine(date, type, event, {...fields, droppedLines});
    output.write(line, lost);
  };
}

function encodeLine(
  date: Date,
  level: string,
  event: string,
  fields: LogFields
): string {
  const time = date.toISOString();
  return `${JSON.stringify({time, level, event, ...fields})}\n`;
}

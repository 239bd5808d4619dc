import {createConsola, LogLevels} from 'consola/basic';

import type {ConsolaInstance, LogObject} from 'consola/basic';

/** The log levels, most severe first. @public */
export const LOG_LEVEL = {
  error: 'error',
  warn: 'warn',
  info: 'info',
  debug: 'debug',
} as const;

/** One of the log levels. @public */
export type LogLevel = (typeof LOG_LEVEL)[keyof typeof LOG_LEVEL];

/** Fields of a log line; lines of one request share `requestId`. @public */
export type LogFields = Readonly<Record<string, unknown>>;

/** Lines are dropped while more than this is buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;

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

  /** Creates a logger that writes to standard error by default. */
  static create(
    level: LogLevel,
    fields: LogFields,
    stream: NodeJS.WriteStream = process.stderr
  ): Logger {
    const options = {level: LogLevels[level], stdout: stream};
    if (stream.isTTY) return new Logger(createConsola(options), fields);
    const reporters = [{log: jsonLineWriter(stream)}];
    return new Logger(createConsola({...options, reporters}), fields);
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
 * dropped ones in `droppedLines`.
 */
function jsonLineWriter(
  stream: NodeJS.WriteStream
): (logObject: LogObject) => void {
  let dropped = 0;
  return logObject => {
    if (stream.writableLength > MAX_BUFFERED_BYTES) {
      dropped += 1;
      return;
    }
    const [event, fields] = logObject.args as [string, LogFields | undefined];
    const line: Record<string, unknown> = {
      time: logObject.date.toISOString(),
      level: logObject.type,
      event,
      ...fields,
    };
    if (dropped > 0) line['droppedLines'] = dropped;
    dropped = 0;
    stream.write(`${JSON.stringify(line)}\n`);
  };
}

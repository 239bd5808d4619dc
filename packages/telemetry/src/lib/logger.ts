/** Structured logs: JSON lines, or readable lines on a terminal. */
import {createConsola, LogLevels} from 'consola';

import type {ConsolaInstance, LogObject} from 'consola';

/** @public */
export const LOG_LEVEL = {
  error: 'error',
  warn: 'warn',
  info: 'info',
  debug: 'debug',
} as const;

/** @public */
export type LogLevel = (typeof LOG_LEVEL)[keyof typeof LOG_LEVEL];

/** Fields of one log line; `requestId` ties lines of a request together. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Bytes that may wait in a pipe that nobody reads; more lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** A log that adds the same fields to each line. @public */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly fields: LogFields
  ) {}

  /** Writes to standard error, or to standard output where that is asked. */
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

  /** A log whose lines carry more fields. */
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

/** Never waits for the reader: what it has no room for is counted instead. */
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

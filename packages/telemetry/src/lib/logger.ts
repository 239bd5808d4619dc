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

/** A log that adds the same fields to each line. @public */
export class Logger {
  private constructor(
    private readonly sink: ConsolaInstance,
    private readonly fields: LogFields
  ) {}

  /** Writes to standard error. */
  static create(level: LogLevel, fields: LogFields): Logger {
    const options = {level: LogLevels[level], stdout: process.stderr};
    if (process.stderr.isTTY) {
      return new Logger(createConsola(options), fields);
    }
    const reporters = [{log: writeJsonLine}];
    return new Logger(createConsola({...options, reporters}), fields);
  }

  /** A log whose lines carry more fields. */
  with(fields: LogFields): Logger {
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

function writeJsonLine(entry: LogObject): void {
  const [event, fields] = entry.args as [string, LogFields | undefined];
  const time = entry.date.toISOString();
  const line = JSON.stringify({time, level: entry.type, event, ...fields});
  process.stderr.write(`${line}\n`);
}

/** A line of an instance's log. @public */
export interface LogLine {
  /** Unix time in milliseconds. */
  readonly timeMs: number;
  readonly level: string;
  readonly event: string;
  readonly instance: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** State changes are included from this long before the request. */
const LOOKBACK_MS = 5000;
/** Events about requests and usage; all others are state changes. */
const REQUEST_EVENTS: ReadonlySet<string> = new Set([
  'request ended',
  'customer use',
  'refused',
  'request_failed',
]);
/** Fields with what a request may have been refused for. */
const CAUSE_FIELDS = ['fingerprint', 'quarantinedBlock', 'block'] as const;
/** Fields that may contain the id of a request, or such a cause. */
const ID_FIELDS = ['attemptId', 'requestId', ...CAUSE_FIELDS] as const;
/** Field with the fingerprints of the requests that a lost target was running. */
const RUNNING_FIELD = 'running';
/** Field with the number of those requests that had each block of a prompt. */
const BLOCKS_FIELD = 'blocks';

/** Parses a line of a log file; undefined if it is not a log line. @public */
export function parseLogLine(line: string): LogLine | undefined {
  // Log collectors may prefix each line with text of their own.
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  const value = parseJson(line.slice(start));
  if (typeof value !== 'object' || value === null) return undefined;
  const {time, level, event, instance, ...fields} = value as Record<
    string,
    unknown
  >;
  const timeMs = Date.parse(String(time));
  if (Number.isNaN(timeMs) || typeof event !== 'string') return undefined;
  return {
    timeMs,
    level: String(level),
    event,
    instance: String(instance),
    fields,
  };
}

/**
 * Returns the lines that name a request, together with the state changes on the
 * same instances from shortly before it to its end, in order of time. Changes
 * of targets that the request did not use are left out, except those of its
 * service if it was sent to none. What any instance logged about the request's
 * fingerprint, or about the block of its prompt for which it was refused, is
 * included, such as targets that were lost under it.
 *
 * @param requestId - id of an attempt, a fingerprint, or the key of a block
 *
 * @public
 */
export function explainRequest(
  requestId: string,
  logLines: readonly LogLine[]
): LogLine[] {
  const namedLines = logLines.filter(line => mentionsRequest(line, requestId));
  if (namedLines.length === 0) return [];
  const ownLines = new Set(withCauseLines(namedLines, logLines));
  const targets = new Set(namedLines.map(({fields}) => fields['target']));
  const unplaced = namedLines.filter(
    ({fields}) => fields['target'] === undefined
  );
  const services = new Set(unplaced.map(({fields}) => fields['service']));
  const instances = new Set(namedLines.map(({instance}) => instance));
  const fromMs = Math.min(...namedLines.map(arrivalTimeMs)) - LOOKBACK_MS;
  const toMs = Math.max(...namedLines.map(({timeMs}) => timeMs));
  const stateChanges = logLines.filter(logLine => {
    const {timeMs, event, instance, fields} = logLine;
    if (REQUEST_EVENTS.has(event) || ownLines.has(logLine)) return false;
    if (timeMs < fromMs || timeMs > toMs) return false;
    if (!instances.has(instance)) return false;
    const {target, service} = fields;
    if (target === undefined || targets.has(target)) return true;
    return service !== undefined && services.has(service);
  });
  return [...stateChanges, ...ownLines].sort((a, b) => a.timeMs - b.timeMs);
}

/** Formats a log line for people. @public */
export function formatLogLine(logLine: LogLine): string {
  const {timeMs, instance, event, fields} = logLine;
  const time = new Date(timeMs).toISOString().slice('2026-01-01T'.length, -1);
  const formattedFields = Object.entries(fields).map(
    ([name, value]) => `${name}=${formatValue(value)}`
  );
  return [time, instance, event, ...formattedFields].join('  ');
}

/** Adds the lines that name what requests of the given ones were refused for. */
function withCauseLines(
  namedLines: readonly LogLine[],
  logLines: readonly LogLine[]
): LogLine[] {
  const causes = new Set<string>();
  for (const {fields} of namedLines) {
    for (const name of CAUSE_FIELDS) {
      const cause = fields[name];
      if (typeof cause === 'string') causes.add(cause);
    }
  }
  const named = new Set(namedLines);
  return logLines.filter(logLine => {
    if (named.has(logLine)) return true;
    return [...causes].some(cause => mentionsRequest(logLine, cause));
  });
}

function mentionsRequest({fields}: LogLine, id: string): boolean {
  if (ID_FIELDS.some(name => fields[name] === id)) return true;
  const running = fields[RUNNING_FIELD];
  if (Array.isArray(running) && running.includes(id)) return true;
  const blocks = fields[BLOCKS_FIELD];
  return typeof blocks === 'object' && blocks !== null && id in blocks;
}

/** When the request arrived, or the time of the line without `elapsedMs`. */
function arrivalTimeMs({timeMs, fields}: LogLine): number {
  const {elapsedMs} = fields;
  return typeof elapsedMs === 'number' ? timeMs - elapsedMs : timeMs;
}

function formatValue(value: unknown): string {
  if (typeof value === 'number') return String(Math.round(value * 100) / 100);
  if (typeof value === 'string') return value;
  if (typeof value !== 'object' || value === null) return String(value);
  const parts = Object.entries(value).map(([k, v]) => `${k}:${formatValue(v)}`);
  return `{${parts.join(' ')}}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // A truncated line, or one of another program; it is left out.
    return undefined;
  }
}

import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {POLICY_NAME} from '@applebend/core';
import {LOG_LEVEL} from '@applebend/telemetry';
import {fail, errorMessage, ok} from '@applebend/utils';

import type {Result} from '@applebend/utils';

const MIN_SECRET_LENGTH = 16;
const KB = 1024;

const addressSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535),
});

const limitsSchema = z.strictObject({
  max_body_bytes: z
    .number()
    .int()
    .positive()
    .default(1024 * KB),
  max_header_bytes: z
    .number()
    .int()
    .positive()
    .default(16 * KB),
  /** Time that a caller may take to send its request. */
  request_timeout_ms: z.number().int().positive().default(30_000),
  /** Maximum number of open requests of one instance. */
  max_open_requests: z.number().int().positive().default(4000),
  /** Time that a target may send nothing while a response is due. */
  stall_timeout_ms: z.number().int().positive().default(10_000),
  /** Time that a caller may read nothing of its response. */
  slow_caller_timeout_ms: z.number().int().positive().default(60_000),
  /** Time that a connection to a target may take to open. */
  connect_timeout_ms: z.number().int().positive().default(1000),
});

const timingSchema = z.strictObject({
  heartbeat_ms: z.number().int().positive().default(500),
  /** A peer without heartbeats for this long is not considered alive. */
  silence_ms: z.number().int().positive().default(1600),
  /** Lease of a granted slot, from the entry's last message before it. */
  grant_lease_ms: z.number().int().positive().default(2500),
  list_poll_ms: z.number().int().positive().default(500),
  log_timeout_ms: z.number().int().positive().default(1500),
  /** Time that a key stays claimed; must be below the log's retention. */
  claim_window_ms: z.number().int().positive().default(600_000),
  /** Age of the latest configuration snapshot at which a new one is due. */
  snapshot_every_ms: z.number().int().positive().default(600_000),
  /** Time that new requests are still accepted once a shutdown has begun. */
  lame_duck_ms: z.number().int().min(0).default(1500),
});

const settingsSchema = z.strictObject({
  instance: z.string().min(1).max(64),
  failure_domain: z.string().min(1).max(64),
  /** How requests are scheduled; see `POLICIES` of the core package. */
  policy: z.enum(POLICY_NAME).default(POLICY_NAME.dispatched),
  log_level: z.enum(LOG_LEVEL).default(LOG_LEVEL.info),
  /** Shared by all instances; links are authenticated with it. */
  link_secret: z.string().min(MIN_SECRET_LENGTH),
  listen: z.strictObject({
    caller: addressSchema,
    peer: addressSchema,
    admin: addressSchema,
  }),
  platform: z.strictObject({
    log_url: z.url(),
    list_url: z.url(),
  }),
  tracing: z.strictObject({otlp_url: z.url().optional()}).default({}),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
});

/** Settings of one process, from its TOML file. @public */
export type Settings = z.infer<typeof settingsSchema>;

/** The faults of a settings file, one line each. @public */
export interface SettingsError {
  readonly kind: 'settings_invalid';
  readonly message: string;
  readonly issues: readonly string[];
}

/** Reads and validates a settings file. @public */
export function loadSettings(file: string): Result<Settings, SettingsError> {
  let raw: unknown;
  try {
    raw = parse(readFileSync(file, 'utf8'));
  } catch (err) {
    return invalid(file, [errorMessage(err)]);
  }
  const parsed = settingsSchema.safeParse(raw);
  if (parsed.success) return ok(parsed.data);
  const issues = parsed.error.issues.map(
    issue => `${issue.path.join('.') || '(top level)'}: ${issue.message}`
  );
  return invalid(file, issues);
}

function invalid(
  file: string,
  issues: readonly string[]
): Result<never, SettingsError> {
  const lines = issues.map(issue => `${file}: ${issue}`);
  return fail({
    kind: 'settings_invalid',
    message: lines.join('\n'),
    issues: lines,
  });
}

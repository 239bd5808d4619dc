import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {fail, errorMessage, ok} from '@applebend/utils';

import type {Result} from '@applebend/utils';
import type {ToolError} from './command_result.js';

const toolSettingsSchema = z.strictObject({
  log_url: z.url(),
  log_timeout_ms: z.number().int().positive().default(3000),
  /** URLs of the instances' admin ports, by instance name. */
  instances: z.record(z.string(), z.url()).default({}),
});

/** The addresses of the log service and the instances. @public */
export type ToolSettings = z.infer<typeof toolSettingsSchema>;

/** Reads a TOML file; errors are reported with `kind`. @public */
export function readToml(
  file: string,
  kind: 'file_invalid' | 'settings_invalid'
): Result<unknown, ToolError> {
  try {
    return ok(parse(readFileSync(file, 'utf8')));
  } catch (err) {
    return fail({kind, message: `${file}: ${errorMessage(err)}`});
  }
}

/** Formats validation errors, one line each. @public */
export function describeIssues(file: string, error: z.ZodError): string {
  return error.issues
    .map(issue => {
      const key = issue.path.join('.') || '(top level)';
      return `${file}: ${key}: ${issue.message}`;
    })
    .join('\n');
}

/** Reads and validates the tool's settings. @public */
export function loadToolSettings(
  file: string
): Result<ToolSettings, ToolError> {
  const raw = readToml(file, 'settings_invalid');
  if (!raw.ok) return raw;
  const parsed = toolSettingsSchema.safeParse(raw.value);
  if (parsed.success) return ok(parsed.data);
  const message = describeIssues(file, parsed.error);
  return fail({kind: 'settings_invalid', message});
}

/** The records of the configuration stream, as they lie on the log. */
import {z} from 'zod';
import {CONFIG_SECTIONS, fleetConfigSchema} from './config_schema.js';

import type {ConfigSection, FleetConfig} from './config_schema.js';

const upsertsSchema = z.strictObject({
  services: z.record(z.string(), z.unknown()).optional(),
  templates: z.record(z.string(), z.unknown()).optional(),
  customers: z.record(z.string(), z.unknown()).optional(),
});

const removalsSchema = z.strictObject({
  services: z.array(z.string()).optional(),
  templates: z.array(z.string()).optional(),
  customers: z.array(z.string()).optional(),
});

const changeSchema = z.strictObject({
  type: z.literal('change'),
  changeId: z.string().min(1).max(128),
  /** The revision that the operator saw when the change was made. */
  base: z.number().int().min(0),
  author: z.string().max(128),
  upserts: upsertsSchema,
  removals: removalsSchema,
});

const changeOutcomeSchema = z.strictObject({
  changeId: z.string(),
  offset: z.number().int(),
  accepted: z.boolean(),
  reason: z.string(),
});

const snapshotSchema = z.strictObject({
  type: z.literal('snapshot'),
  revision: z.number().int().min(0),
  /** The first offset that the snapshot does not contain. */
  nextOffset: z.number().int().min(0),
  config: fleetConfigSchema,
  fates: z.array(changeOutcomeSchema),
});

/** @public */
export const configRecordSchema = z.discriminatedUnion('type', [
  changeSchema,
  snapshotSchema,
]);

/** @public */
export type ConfigChange = z.infer<typeof changeSchema>;
/** @public */
export type ConfigSnapshot = z.infer<typeof snapshotSchema>;
/** @public */
export type ConfigRecord = z.infer<typeof configRecordSchema>;
/** What became of one published change. @public */
export type ChangeOutcome = z.infer<typeof changeOutcomeSchema>;

/** The difference between two configurations, as a change carries it. @public */
export interface ConfigDiff {
  readonly upserts: ConfigChange['upserts'];
  readonly removals: ConfigChange['removals'];
}

/** The smallest change that turns one configuration into another. @public */
export function diffConfigs(from: FleetConfig, to: FleetConfig): ConfigDiff {
  const upserts: ConfigChange['upserts'] = {};
  const removals: ConfigChange['removals'] = {};
  for (const section of CONFIG_SECTIONS) {
    const changed = changedDefinitions(from, to, section);
    if (Object.keys(changed).length > 0) upserts[section] = changed;
    const removed = Object.keys(from[section]).filter(k => !(k in to[section]));
    if (removed.length > 0) removals[section] = removed;
  }
  return {upserts, removals};
}

/** Applies a change's entries without checking the result. @public */
export function applyDiff(config: FleetConfig, diff: ConfigDiff): unknown {
  const next: Record<string, Record<string, unknown>> = {};
  for (const section of CONFIG_SECTIONS) {
    const definitions: Record<string, unknown> = {...config[section]};
    for (const name of diff.removals[section] ?? []) delete definitions[name];
    next[section] = {...definitions, ...diff.upserts[section]};
  }
  return next;
}

function changedDefinitions(
  from: FleetConfig,
  to: FleetConfig,
  section: ConfigSection
): Record<string, unknown> {
  const before: Record<string, unknown> = from[section];
  const changed: Record<string, unknown> = {};
  for (const [name, definition] of Object.entries(to[section])) {
    if (JSON.stringify(before[name]) === JSON.stringify(definition)) continue;
    changed[name] = definition;
  }
  return changed;
}

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
  /**
   * The revision that the operator made the change from. The change is rejected
   * if another one was accepted since.
   */
  base: z.number().int().min(0),
  author: z.string().max(128),
  /** Definitions to add or replace, by section and name. */
  upserts: upsertsSchema,
  /** Names of the definitions to remove, by section. */
  removals: removalsSchema,
});

const changeOutcomeSchema = z.strictObject({
  changeId: z.string(),
  offset: z.number().int(),
  accepted: z.boolean(),
  /** Why the change was rejected; empty if it was accepted. */
  reason: z.string(),
});

const snapshotSchema = z.strictObject({
  type: z.literal('snapshot'),
  revision: z.number().int().min(0),
  /** Offset of the first record that the snapshot does not include. */
  nextOffset: z.number().int().min(0),
  config: fleetConfigSchema,
  /** Outcomes of the latest changes, oldest first. */
  fates: z.array(changeOutcomeSchema),
});

/**
 * Schema of the records of the configuration stream: changes that operators
 * publish, and snapshots of the state that they lead to.
 *
 * @public
 */
export const configRecordSchema = z.discriminatedUnion('type', [
  changeSchema,
  snapshotSchema,
]);

/** A change that an operator publishes; it may be rejected. @public */
export type ConfigChange = z.infer<typeof changeSchema>;
/** The state after all records before `nextOffset`. @public */
export type ConfigSnapshot = z.infer<typeof snapshotSchema>;
/** Any record of the configuration stream. @public */
export type ConfigRecord = z.infer<typeof configRecordSchema>;
/** Whether a published change was accepted, and if not, why. @public */
export type ChangeOutcome = z.infer<typeof changeOutcomeSchema>;

/** The difference between two configurations. @public */
export interface ConfigDiff {
  readonly upserts: ConfigChange['upserts'];
  readonly removals: ConfigChange['removals'];
}

/** Returns the smallest difference that turns `from` into `to`. @public */
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

/** Applies a difference without validating the result. @public */
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

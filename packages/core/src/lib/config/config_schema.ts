/**
 * The fleet's configuration: services, templates and the customers that are
 * created from templates. Operators publish it; every instance applies it.
 */
import {z} from 'zod';

const HASH_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

const nameSchema = z.string().regex(NAME_PATTERN);

/** The two kinds of service that the fleet routes to. @public */
export const SERVICE_KIND = {model: 'model', plain: 'plain'} as const;

const serviceSchema = z.strictObject({
  kind: z.enum(SERVICE_KIND),
  /** Requests one target runs at once before its limit has adapted. */
  slots: z.number().int().min(1).max(4096),
  /** The most that the adapted limit may reach; defaults to `slots`. */
  maxSlots: z.number().int().min(1).max(4096).optional(),
  /** Slots above the limit that only short calls may take. */
  shortCallSlots: z.number().int().min(0).max(256).default(0),
  /** First token at p95, in milliseconds. */
  firstTokenTargetMs: z.number().positive().default(890),
  /** Time between two tokens at p95, in milliseconds. */
  betweenTokensTargetMs: z.number().positive().default(46),
  /** Whether targets can continue a stream that broke off. */
  resume: z.boolean().default(false),
});

const matchSchema = z.strictObject({
  service: nameSchema.optional(),
  method: z.string().optional(),
  pathPrefix: z.string().optional(),
  /** Value of the caller's `x-request-class` header. */
  requestClass: z.string().optional(),
});

const requestClassSchema = z.strictObject({
  name: nameSchema,
  match: matchSchema.default({}),
  /** Lower goes first within one customer's queue. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Short calls may use the slots kept above a target's limit. */
  short: z.boolean().default(false),
  /** After this wait the class goes first whatever its priority. */
  maxWaitMs: z.number().int().positive().default(60_000),
  /** Deadline when the caller names none. */
  deadlineMs: z.number().int().positive().default(120_000),
  idempotent: z.boolean().default(true),
  /** The header that names the work of a non-idempotent request. */
  idempotencyKeyHeader: z.string().toLowerCase().default('idempotency-key'),
  /** Estimated output of a request before any has been observed. */
  expectedOutputTokens: z.number().int().positive().default(256),
  maxOutputTokens: z.number().int().positive().default(8192),
});

const templateSchema = z.strictObject({
  share: z.number().positive().default(1),
  inputTokenCost: z.number().min(0).default(1),
  outputTokenCost: z.number().positive().default(2),
  /** Weighted tokens that one call of a plain service counts for. */
  callCost: z.number().positive().default(100),
  /** Requests of one customer that may wait in one cell. */
  maxQueued: z.number().int().min(1).max(100_000).default(256),
  classes: z.array(requestClassSchema).min(1),
});

const customerSchema = z.strictObject({
  template: nameSchema,
  /** SHA-256 of each API key, in hexadecimal. */
  apiKeyHashes: z.array(z.string().regex(HASH_PATTERN)).default([]),
  share: z.number().positive().optional(),
  maxQueued: z.number().int().min(1).max(100_000).optional(),
});

const fleetConfigShape = z.strictObject({
  services: z.record(nameSchema, serviceSchema).default({}),
  templates: z.record(nameSchema, templateSchema).default({}),
  customers: z.record(nameSchema, customerSchema).default({}),
});

/** Checks one whole configuration, references included. @public */
export const fleetConfigSchema = fleetConfigShape.superRefine(checkConsistency);

/** @public */
export type FleetConfig = z.infer<typeof fleetConfigShape>;
/** @public */
export type ServiceConfig = z.infer<typeof serviceSchema>;
/** @public */
export type TemplateConfig = z.infer<typeof templateSchema>;
/** @public */
export type CustomerConfig = z.infer<typeof customerSchema>;
/** @public */
export type RequestClassConfig = z.infer<typeof requestClassSchema>;

/** A configuration with nothing in it, which every fleet starts from. @public */
export const EMPTY_CONFIG: FleetConfig = {
  services: {},
  templates: {},
  customers: {},
};

/** The sections of a configuration. @public */
export const CONFIG_SECTIONS = ['services', 'templates', 'customers'] as const;

/** @public */
export type ConfigSection = (typeof CONFIG_SECTIONS)[number];

function checkConsistency(config: FleetConfig, ctx: z.RefinementCtx): void {
  for (const [name, customer] of Object.entries(config.customers)) {
    if (customer.template in config.templates) continue;
    ctx.addIssue({
      code: 'custom',
      path: ['customers', name, 'template'],
      message: `no template is named "${customer.template}"`,
    });
  }
  for (const [name, service] of Object.entries(config.services)) {
    if ((service.maxSlots ?? service.slots) >= service.slots) continue;
    ctx.addIssue({
      code: 'custom',
      path: ['services', name, 'maxSlots'],
      message: 'must not be below slots',
    });
  }
  checkKeysAreUnique(config, ctx);
}

function checkKeysAreUnique(config: FleetConfig, ctx: z.RefinementCtx): void {
  const owners = new Map<string, string>();
  for (const [name, customer] of Object.entries(config.customers)) {
    for (const hash of customer.apiKeyHashes) {
      const owner = owners.get(hash);
      owners.set(hash, name);
      if (owner === undefined) continue;
      ctx.addIssue({
        code: 'custom',
        path: ['customers', name, 'apiKeyHashes'],
        message: `customer "${owner}" already has this key`,
      });
    }
  }
}

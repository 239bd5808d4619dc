import {z} from 'zod';

const HASH_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

const nameSchema = z.string().regex(NAME_PATTERN);

/**
 * Kinds of service: `model` for engines that serve a language model, `plain`
 * for any other HTTP service.
 *
 * @public
 */
export const SERVICE_KIND = {model: 'model', plain: 'plain'} as const;

const serviceSchema = z.strictObject({
  kind: z.enum(SERVICE_KIND),
  /** Initial limit of concurrent requests per target; adapted to latency. */
  slots: z.number().int().min(1).max(4096),
  /** Upper bound of the adapted limit; defaults to `slots`. */
  maxSlots: z.number().int().min(1).max(4096).optional(),
  /** Slots above the limit that only requests of short classes may use. */
  shortCallSlots: z.number().int().min(0).max(256).default(0),
  /** Objective for the time to the first token at p95, in milliseconds. */
  firstTokenTargetMs: z.number().positive().default(890),
  /** Objective for the time between two tokens at p95, in milliseconds. */
  betweenTokensTargetMs: z.number().positive().default(46),
  /** Whether targets can resume a stream that was interrupted. */
  resume: z.boolean().default(false),
});

/** Conditions on a request; all that are set must hold. */
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
  /** Lower values go first within one customer's queue. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Whether requests may use a target's `shortCallSlots`. */
  short: z.boolean().default(false),
  /** After this wait a request goes first whatever its priority. */
  maxWaitMs: z.number().int().positive().default(60_000),
  /** Deadline if the caller sets none. */
  deadlineMs: z.number().int().positive().default(120_000),
  /** Whether a request may be sent to a target more than once. */
  idempotent: z.boolean().default(true),
  /** Header with the idempotency key of a non-idempotent request. */
  idempotencyKeyHeader: z.string().toLowerCase().default('idempotency-key'),
  /** Estimated output until responses of the class have been observed. */
  expectedOutputTokens: z.number().int().positive().default(256),
  /** Largest `max_tokens` that a request may set. */
  maxOutputTokens: z.number().int().positive().default(8192),
});

const templateSchema = z.strictObject({
  /** Weight among the customers that compete for targets. */
  share: z.number().positive().default(1),
  /** Weighted tokens per input token. */
  inputTokenCost: z.number().min(0).default(1),
  /** Weighted tokens per output token. */
  outputTokenCost: z.number().positive().default(2),
  /** Weighted tokens charged for one call of a plain service. */
  callCost: z.number().positive().default(100),
  /** How many of a customer's requests may wait in one cell. */
  maxQueued: z.number().int().min(1).max(100_000).default(256),
  /** The first one that matches a request is its class. */
  classes: z.array(requestClassSchema).min(1),
});

const customerSchema = z.strictObject({
  template: nameSchema,
  /** SHA-256 of each API key, in hexadecimal. */
  apiKeyHashes: z.array(z.string().regex(HASH_PATTERN)).default([]),
  /** Overrides the template's value. */
  share: z.number().positive().optional(),
  /** Overrides the template's value. */
  maxQueued: z.number().int().min(1).max(100_000).optional(),
});

const fleetConfigShape = z.strictObject({
  services: z.record(nameSchema, serviceSchema).default({}),
  templates: z.record(nameSchema, templateSchema).default({}),
  customers: z.record(nameSchema, customerSchema).default({}),
});

/**
 * Schema of the fleet's configuration: services, templates, and the customers
 * that are created from templates. Operators publish it, and every instance
 * applies it. Also checks references to templates, the bounds of slots, and
 * that no API key belongs to two customers.
 *
 * @public
 */
export const fleetConfigSchema = fleetConfigShape.superRefine(checkConsistency);

/** A complete configuration. @public */
export type FleetConfig = z.infer<typeof fleetConfigShape>;
/** @public */
export type ServiceConfig = z.infer<typeof serviceSchema>;
/** @public */
export type TemplateConfig = z.infer<typeof templateSchema>;
/** @public */
export type CustomerConfig = z.infer<typeof customerSchema>;
/** @public */
export type RequestClassConfig = z.infer<typeof requestClassSchema>;

/** The empty configuration that every fleet starts from. @public */
export const EMPTY_CONFIG: FleetConfig = {
  services: {},
  templates: {},
  customers: {},
};

/** Names of the configuration's sections. @public */
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

import type {
  CustomerConfig,
  FleetConfig,
  RequestClassConfig,
  TemplateConfig,
} from './config_schema.js';

/** A customer's overrides merged with its template. @public */
export interface ResolvedCustomer {
  readonly name: string;
  /** Weight of the customer among those that compete for targets. */
  readonly share: number;
  /** How many of the customer's requests may wait in one cell. */
  readonly maxQueued: number;
  readonly template: TemplateConfig;
}

/** Properties of a request that select its class. @public */
export interface RequestTraits {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Value of the caller's `x-request-class` header. */
  readonly requestClass: string | undefined;
}

/**
 * Merges a customer's overrides into its template. Returns undefined if the
 * customer or its template does not exist.
 *
 * @public
 */
export function resolveCustomer(
  config: FleetConfig,
  name: string
): ResolvedCustomer | undefined {
  const customer: CustomerConfig | undefined = config.customers[name];
  if (customer === undefined) return undefined;
  const template = config.templates[customer.template];
  if (template === undefined) return undefined;
  return {
    name,
    share: customer.share ?? template.share,
    maxQueued: customer.maxQueued ?? template.maxQueued,
    template,
  };
}

/** Maps the hash of each API key to the name of its customer. @public */
export function indexApiKeys(config: FleetConfig): ReadonlyMap<string, string> {
  const index = new Map<string, string>();
  for (const [name, customer] of Object.entries(config.customers)) {
    for (const hash of customer.apiKeyHashes) index.set(hash, name);
  }
  return index;
}

/** Returns the first matching class, or undefined if none matches. @public */
export function classifyRequest(
  template: TemplateConfig,
  traits: RequestTraits
): RequestClassConfig | undefined {
  return template.classes.find(cls => matches(cls, traits));
}

function matches(cls: RequestClassConfig, traits: RequestTraits): boolean {
  const {service, method, pathPrefix, requestClass} = cls.match;
  if (service !== undefined && service !== traits.service) return false;
  if (method !== undefined && method !== traits.method) return false;
  if (requestClass !== undefined && requestClass !== traits.requestClass) {
    return false;
  }
  return pathPrefix === undefined || traits.path.startsWith(pathPrefix);
}

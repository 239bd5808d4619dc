/** Finds the customer and the request class that a request belongs to. */
import type {
  CustomerConfig,
  FleetConfig,
  RequestClassConfig,
  TemplateConfig,
} from './config_schema.js';

/** A customer with its template's values and its own overrides merged. @public */
export interface ResolvedCustomer {
  readonly name: string;
  readonly share: number;
  readonly maxQueued: number;
  readonly template: TemplateConfig;
}

/** What decides a request's class. @public */
export interface RequestTraits {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly requestClass: string | undefined;
}

/** Merges a customer's overrides into its template. @public */
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

/** Maps each key hash to its customer, for look-ups by request. @public */
export function indexApiKeys(config: FleetConfig): ReadonlyMap<string, string> {
  const index = new Map<string, string>();
  for (const [name, customer] of Object.entries(config.customers)) {
    for (const hash of customer.apiKeyHashes) index.set(hash, name);
  }
  return index;
}

/** The first class of the template that matches; undefined when none. @public */
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

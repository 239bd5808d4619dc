import {z} from 'zod';
import {fail, ok} from '@applebend/utils';
import {requestJson} from './http_json.js';

import type {Result} from '@applebend/utils';

const instanceSchema = z.object({
  id: z.string().min(1).max(128),
  role: z.enum(['router', 'target']),
  /** The service that a target serves; empty for routers. */
  service: z.string().default(''),
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
  failureDomain: z.string().default(''),
  state: z.enum(['live', 'leaving']),
});

const listSchema = z.object({instances: z.array(instanceSchema)});

/** A router or target on the list. @public */
export type ListedInstance = z.infer<typeof instanceSchema>;

/** The list could not be read. @public */
export interface InstanceListError {
  readonly kind: 'list_unavailable';
  readonly message: string;
}

/**
 * The platform's list of routers and targets. It lags behind the instances
 * themselves.
 *
 * @public
 */
export interface InstanceList {
  read(): Promise<Result<readonly ListedInstance[], InstanceListError>>;
}

/** The address and timeout of the instance list. @public */
export interface InstanceListOptions {
  readonly baseUrl: string;
  readonly timeoutMs: number;
  /** The local address to connect from. */
  readonly localAddress?: string | undefined;
}

/** Reads the instance list over HTTP. @public */
export class HttpInstanceListClient implements InstanceList {
  private constructor(private readonly options: InstanceListOptions) {}

  static create(options: InstanceListOptions): HttpInstanceListClient {
    return new HttpInstanceListClient(options);
  }

  async read(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.options.baseUrl}/instances`,
      timeoutMs: this.options.timeoutMs,
      localAddress: this.options.localAddress,
    });
    if (!response.ok) {
      return fail({kind: 'list_unavailable', message: response.err.message});
    }
    const parsed = listSchema.safeParse(response.value.body);
    if (parsed.success) return ok(parsed.data.instances);
    return fail({kind: 'list_unavailable', message: 'malformed response'});
  }
}

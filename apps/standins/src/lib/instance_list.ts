import {z} from 'zod';
import {StandIn} from './stand_in.js';

import type {
  StandInResponse,
  ServerOptions,
  StandInRequest,
} from './stand_in_server.js';

const instanceSchema = z.strictObject({
  id: z.string(),
  role: z.enum(['router', 'target']),
  service: z.string().default(''),
  host: z.string(),
  port: z.number().int(),
  failureDomain: z.string().default(''),
  state: z.enum(['live', 'leaving']),
});

/** A router or target on the instance list. @public */
export type Instance = z.infer<typeof instanceSchema>;

/** Address and lag of an instance list. @public */
export interface InstanceListOptions extends ServerOptions {
  /** How long a change takes to show in responses. */
  readonly lagMs: number;
}

/** The list as it was from `atMs` (Unix time) until the next version. */
interface ListVersion {
  readonly atMs: number;
  readonly instances: readonly Instance[];
}

/**
 * A stand-in for the platform's instance list. Responses show the list as it
 * was `lagMs` ago.
 * @public
 */
export class InstanceListService extends StandIn {
  private versions: ListVersion[] = [{atMs: -Infinity, instances: []}];

  private constructor(private readonly options: InstanceListOptions) {
    super();
  }

  static create(options: InstanceListOptions): Promise<InstanceListService> {
    return new InstanceListService(options).listen(options);
  }

  /** The list with all changes applied, regardless of the lag. */
  get current(): readonly Instance[] {
    return this.versions[this.versions.length - 1]?.instances ?? [];
  }

  /** Adds an instance, or replaces the one with the same id. */
  put(instance: Instance): void {
    const others = this.current.filter(other => other.id !== instance.id);
    this.publish([...others, instance]);
  }

  /** Removes an instance from the list. */
  remove(id: string): void {
    this.publish(this.current.filter(other => other.id !== id));
  }

  private publish(instances: readonly Instance[]): void {
    this.versions.push({atMs: Date.now(), instances});
  }

  protected async handle(request: StandInRequest): Promise<StandInResponse> {
    const {pathname} = request.url;
    if (pathname === '/instances' && request.method === 'GET') {
      return {status: 200, body: {instances: this.delayedList()}};
    }
    const id = pathname.slice('/instances/'.length);
    if (request.method === 'PUT') {
      this.put(instanceSchema.parse({...JSON.parse(request.body), id}));
      return {status: 200, body: {}};
    }
    if (request.method === 'DELETE') {
      this.remove(id);
      return {status: 200, body: {}};
    }
    return {status: 404, body: {}};
  }

  /** Returns the list as it was `lagMs` ago and discards older versions. */
  private delayedList(): readonly Instance[] {
    const reportedAtMs = Date.now() - this.options.lagMs;
    while (this.versions.length > 1) {
      const second = this.versions[1];
      if (second === undefined || second.atMs > reportedAtMs) break;
      this.versions.shift();
    }
    return this.versions[0]?.instances ?? [];
  }
}

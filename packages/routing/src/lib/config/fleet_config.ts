import type {RouteTable} from './route_table.js';

/** Whether a caller's request may run more than once. @public */
export const RETRY_SAFETY = {
  /** The request may be retried after any failure. */
  idempotent: 'idempotent',
  /** The request must not run twice; it is retried only if it did not run. */
  atMostOnce: 'once',
} as const;

/** One of the kinds of retry safety. @public */
export type RetrySafety = (typeof RETRY_SAFETY)[keyof typeof RETRY_SAFETY];

/** A service of a route with its fraction of the traffic. @public */
export interface WeightedService {
  readonly service: string;
  /** Weight relative to the other services of the route. */
  readonly weight: number;
}

/** A route: which requests it matches and how they are handled. @public */
export interface Route {
  readonly name: string;
  /** Host name without a port; case is ignored. */
  readonly host: string;
  /** Has to end with a slash; see `RouteTable`. */
  readonly pathPrefix: string;
  readonly retrySafety: RetrySafety;
  /** Whether the response is a stream of events. */
  readonly streaming: boolean;
  /** Whether another target can resume a stream after its last event. */
  readonly resumable: boolean;
  /** Longest time for a request, even if its deadline is later. */
  readonly timeoutMs: number;
  /**
   * Time within which a response, or the first event of a stream, is on time.
   */
  readonly latencyTargetMs: number;
  /** Longest gap between two events that is on time; 0 for other responses. */
  readonly eventGapTargetMs: number;
  readonly services: readonly WeightedService[];
  /** Most targets that one caller's request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** The published properties of a service's model engines. @public */
export interface EngineSpec {
  /** Number of requests in one batch. */
  readonly slots: number;
  /** Tokens that fit an engine's memory. */
  readonly kvTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** How the targets of a service take requests after a start. @public */
export interface ColdStartSpec {
  /** Requests a second that a cold target takes from all instances together. */
  readonly ratePerS: number;
  /** How long a target is cold after its start. */
  readonly durationMs: number;
}

/** A service: targets that can serve the same requests. @public */
export interface Service {
  readonly name: string;
  /** Set if its targets take fewer requests while they are cold. */
  readonly coldStart?: ColdStartSpec;
  /** Set if the targets are model engines. */
  readonly engine?: EngineSpec;
}

/** Limits on callers' requests and on the token rate of the fleet. @public */
export interface FleetLimits {
  readonly maxBodyBytes: number;
  /** Longest head of a request; longer ones are answered with status 431. */
  readonly maxHeaderBytes: number;
  /** Time in which a caller has to send the header of a request. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection of a caller is kept open. */
  readonly idleTimeoutMs: number;
  /**
   * Rate of all engines in weighted tokens per second; an output token counts
   * twice.
   */
  readonly tokensPerS: number;
}

/** A decoded version of the operator's configuration. @public */
export interface FleetConfig {
  readonly version: number;
  readonly routes: RouteTable;
  readonly services: ReadonlyMap<string, Service>;
  /** Maps an API key to the name of its customer. */
  readonly customersByKey: ReadonlyMap<string, string>;
  /** Whether customers are configured. If not, no route requires a key. */
  readonly hasCustomers: boolean;
  readonly limits: FleetLimits;
}

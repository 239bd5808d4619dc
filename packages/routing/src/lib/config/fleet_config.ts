/** The configuration in force, decoded: what a request may do and where. */
import type {RouteTable} from './route_table.js';

/** How often one client attempt may run. @public */
export const RETRY_SAFETY = {
  /** May run again after any failure. */
  idempotent: 'idempotent',
  /** Must never run twice. */
  atMostOnce: 'once',
} as const;

/** @public */
export type RetrySafety = (typeof RETRY_SAFETY)[keyof typeof RETRY_SAFETY];

/** One service of a route, with its part of the traffic. @public */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other services of the route. */
  readonly weight: number;
}

/** One route. Times are in milliseconds. @public */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly retrySafety: RetrySafety;
  /** The answer is a stream of events. */
  readonly streaming: boolean;
  /** A stream may be continued by another target after its last event. */
  readonly resumable: boolean;
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that is on time. */
  readonly latencyTargetMs: number;
  /** The longest pause between events that is on time; 0 for plain answers. */
  readonly eventGapTargetMs: number;
  readonly services: readonly WeightedService[];
  /** Targets that one client attempt may be sent to. */
  readonly maxAttempts: number;
  /** Needs no API key. */
  readonly isPublic: boolean;
}

/** What is published of a model engine. @public */
export interface EngineSpec {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that its memory holds. */
  readonly kvTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** One service. @public */
export interface Service {
  readonly name: string;
  /** Set for services of model engines. */
  readonly engine?: EngineSpec;
}

/** Bounds on what clients may send, and what engines produce together. @public */
export interface FleetLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  /** Tokens a second of all engines; an output token counts twice. */
  readonly tokensPerS: number;
}

/** One version of the configuration. @public */
export interface FleetConfig {
  readonly version: number;
  readonly routes: RouteTable;
  readonly services: ReadonlyMap<string, Service>;
  /** API key to the customer's name. */
  readonly customersByKey: ReadonlyMap<string, string>;
  /** False where no route asks for a key. */
  readonly hasCustomers: boolean;
  readonly limits: FleetLimits;
}

import type {ListenAddress, PeerAddress} from './ports.js';

/** The settings of one instance. @public */
export interface GatewaySettings {
  readonly instance: string;
  readonly failureDomain: string;
  /** Processor capacity in cores. */
  readonly capacity: number;
  /** Addresses of initial peers, some of which may no longer run. */
  readonly seeds: readonly PeerAddress[];
  /** Where callers' requests are accepted. */
  readonly callers: ListenAddress;
  /** Where the balancer checks readiness. */
  readonly readiness: ListenAddress;
  /** Where datagrams of peers arrive. */
  readonly peers: ListenAddress;
  /** Where metrics are scraped. */
  readonly metrics: ListenAddress;
  /**
   * Whether the whole fleet starts for the first time: targets have no cached
   * blocks yet, so none is queried for them.
   */
  readonly isFleetBootstrap: boolean;
  /** Resident memory above which the platform ends the process. */
  readonly memoryLimitBytes: number;
  /** Bytes that the bodies of all requests may hold together. */
  readonly maxHeldBodyBytes: number;
  /** Bytes that responses may hold together until they are sent. */
  readonly maxHeldResponseBytes: number;
  /** Above this number of open connections, responses close theirs. */
  readonly maxCallerConnections: number;
  /** Time from the stop signal to the forced end of the process. */
  readonly shutdownGraceMs: number;
  /** Maximum `configAgeMs` of the state source to accept an API key. */
  readonly maxConfigAgeForKeyedMs: number;
  /** Maximum `configAgeMs` of the state source to deny a request for good. */
  readonly maxConfigAgeForDenialMs: number;
  /** Age of the list of targets up to which requests are sent by it. */
  readonly maxTargetListAgeMs: number;
  /** Window over which the fair shares of customers are computed. */
  readonly shareWindowMs: number;
  /**
   * What a cold target may get in any second from all instances together: its
   * rate times `overage`, plus `slack` requests. An infinite bound leaves cold
   * targets unlimited.
   */
  readonly coldBound: {readonly overage: number; readonly slack: number};
  /** Retries that the whole fleet may send for one service. */
  readonly retryBudget: {
    readonly windowMs: number;
    /** Retries allowed for each request, on average. */
    readonly ratio: number;
    /** Retries allowed in a window in addition, at any load. */
    readonly minRetries: number;
  };
}

import http from 'node:http';
import {RouteTable, TARGET_STATE} from '@applebend/routing';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {errorMessage, systemClock} from '@applebend/utils';
import {Exchange} from '../lib/front/exchange.js';
import {FleetState} from '../lib/state/fleet_state.js';
import {sampleTarget} from './sample_target.js';

import type {AddressInfo} from 'node:net';
import type {MemoryClaim, FleetConfig} from '@applebend/routing';
import type {ExchangeDeps} from '../lib/front/exchange_deps.js';
import type {RequestContext} from '../lib/front/request_context.js';
import type {
  HeaderCodec,
  StateSource,
  TargetResponseHead,
} from '../lib/ports.js';
import type {GatewaySettings} from '../lib/settings.js';

/** The head of a sound response of a target. */
export const SAMPLE_HEAD: TargetResponseHead = {
  attemptIds: ['a-1'],
  signed: true,
  notExecuted: false,
  contentEncoded: false,
  signals: {isLeaving: false, pauseMs: undefined, limitPerS: undefined},
  headers: ['Content-Type', 'text/plain'],
};

/** What a test changes for one exchange. */
export interface ExchangeChange {
  readonly codec?: Partial<HeaderCodec>;
  /** Called after the request was placed and before it is sent. */
  readonly onPlaced?: () => void;
  readonly onEnd?: () => void;
  /** The body that is sent to the target. */
  readonly body?: Buffer;
  /** Counts a body that the request has. */
  readonly bodyClaim?: MemoryClaim;
}

const SERVICE = 'app';
const COLD_START = {ratePerS: 8, durationMs: 60_000};
const MAX_MS = 500;
/** Age of the list up to which requests are sent by it. */
const MAX_LIST_AGE_MS = 1400;

/** The list of targets of a rig's instance, and its source. */
export interface RigSource {
  /** Whether the list is recent enough to send requests by it. */
  isCurrent: boolean;
  /** Its age. */
  ageMs: number;
  /** Called to read the list. */
  onRefresh: () => void;
}

/** Exchanges of one instance with one target of a service that limits cold ones. */
export class ExchangeRig {
  /** Messages of the exceptions that were reported. */
  readonly faults: string[] = [];
  agent = new http.Agent({keepAlive: false});

  private constructor(
    readonly state: FleetState,
    readonly source: RigSource,
    private readonly target: http.Server | undefined
  ) {}

  /** @param target - undefined if nothing listens at the target's address */
  static async create(target?: http.Server): Promise<ExchangeRig> {
    const address = target?.address() as AddressInfo | undefined;
    const source: RigSource = {
      isCurrent: true,
      ageMs: 0,
      onRefresh: () => undefined,
    };
    const state = createState(address?.port ?? 9, source);
    return new ExchangeRig(state, source, target);
  }

  get record() {
    const record = this.state.targets.get('t-1');
    if (record === undefined) throw new TypeError('no target');
    return record;
  }

  /** Reads a list of targets in which the target is leaving. */
  readLeaving(): void {
    const {state, record} = this;
    const targets = [{...record.target, state: TARGET_STATE.leaving}];
    const list = {targets, storeEra: 0, restoredBefore: 0};
    state.onTargets(list, systemClock.monotonicMs());
  }

  /** Requests that count as running at the target. */
  get running(): number {
    return this.record.ownLoad.load.running;
  }

  /** Sends a request through an exchange. */
  async exchange(
    change: ExchangeChange = {}
  ): Promise<{status: number; retryAfter: string | undefined}> {
    const {state} = this;
    const codec = {
      encodeTargetRequest: () => ['Host', 'target'],
      ...change.codec,
    } as unknown as HeaderCodec;
    const deps = {
      state,
      codec,
      agent: this.agent,
      clock: systemClock,
      random: () => 0,
      onPlaced: () => undefined,
      onUsage: change.onPlaced ?? (() => undefined),
      onInvalidResponse: () => undefined,
      onFault: (err: unknown) => this.faults.push(errorMessage(err)),
      onEnd: change.onEnd ?? (() => undefined),
    } as unknown as ExchangeDeps;
    const context = contextOf(state);
    const front = http.createServer((req, res) =>
      Exchange.create(
        context,
        {req, res, body: change.body, bodyClaim: change.bodyClaim},
        deps
      )
    );
    await new Promise<void>(resolve => front.listen(0, '127.0.0.1', resolve));
    const {port} = front.address() as AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}/`);
    const retryAfter = response.headers.get('retry-after') ?? undefined;
    front.close();
    front.closeAllConnections();
    return {status: response.status, retryAfter};
  }

  close(): void {
    this.target?.close();
    this.target?.closeAllConnections();
  }
}

function createState(port: number, rigSource: RigSource): FleetState {
  const settings = {
    instance: 'entry-1',
    failureDomain: 'hall-a',
    isFleetBootstrap: false,
    shareWindowMs: 4000,
    coldBound: {overage: 1.5, slack: 5},
    retryBudget: {windowMs: 10_000, ratio: 0.2, minRetries: 58},
  } as unknown as GatewaySettings;
  const log = Logger.create(LOG_LEVEL.error, {});
  const inspector = {inspect: () => Promise.resolve(undefined)};
  const source = {
    targetsAgeMs: () => rigSource.ageMs,
    targetsReadAgeMs: () => 0,
    storeLostMs: () => 0,
    areTargetsCurrent: (allowanceMs = 0) =>
      rigSource.isCurrent && rigSource.ageMs <= MAX_LIST_AGE_MS + allowanceMs,
    refreshTargets: async () => rigSource.onRefresh(),
  } as StateSource;
  const state = FleetState.create(settings, source, inspector, log);
  const service = {name: SERVICE, coldStart: COLD_START};
  const config = {
    version: 1,
    routes: RouteTable.create([]),
    services: new Map([[SERVICE, service]]),
    limits: {tokensPerS: Infinity},
  } as unknown as FleetConfig;
  const nowMs = systemClock.monotonicMs();
  state.onConfig(config, nowMs);
  state.targets.cold.onListed(['entry-1'], nowMs);
  const targets = [sampleTarget({service: SERVICE, port})];
  state.onTargets({targets, storeEra: 0, restoredBefore: 0}, nowMs);
  return state;
}

function contextOf(state: FleetState): RequestContext {
  const nowMs = systemClock.monotonicMs();
  return {
    config: state.config,
    route: {
      retrySafety: 'idempotent',
      streaming: false,
      latencyTargetMs: 400,
      maxAttempts: 3,
    },
    service: SERVICE,
    customer: undefined,
    caller: {attemptId: 'a-1'},
    prompt: undefined,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + MAX_MS,
  } as unknown as RequestContext;
}

import {sleep} from '@applebend/utils';
import {
  CUSTOMERS,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  SLOTS_PER_ENGINE,
} from './site.js';

import type {Fleet} from '../fleet.js';
import type {LoadRunner} from './load_runner.js';

/** The fields of a router's status page that are sampled. */
export interface RouterSample {
  readonly instance: string;
  readonly incarnation: string;
  readonly revision: number;
  /** Time spent on links, cells and membership since the start. */
  readonly controlSeconds: number;
  /** CPU time of the process since its start. */
  readonly cpuSeconds: number;
  readonly rssBytes: number;
  readonly traffic: {
    readonly sentBytes: number;
    readonly receivedBytes: number;
  };
  readonly cells: readonly {
    readonly service: string;
    /** Requests that wait in the queue of this router. */
    readonly waitingHere: number;
    readonly stats: {
      readonly fairnessGap: number;
      readonly fairnessBound: number;
      readonly fairnessViolations: number;
      readonly overLimit: number;
    };
  }[];
}

/** The state of the fleet at one time. */
export interface FleetSample {
  /** Start of the sampling, by `performance.now()`. */
  readonly atMs: number;
  /** Weighted tokens received, in the order of `CUSTOMERS`. */
  readonly service: readonly number[];
  /** Model calls that have not started, in the order of `CUSTOMERS`. */
  readonly waiting: readonly number[];
  /** Engine slots in use, and all slots of the engines that run. */
  readonly busySlots: number;
  readonly slots: number;
  /** Model calls that wait in the queues of the routers. */
  readonly queued: number;
  /** Status of the routers that responded. */
  readonly routers: readonly RouterSample[];
}

const SAMPLE_INTERVAL_MS = 200;

/** Samples service, backlogs, slots and control costs during a run. */
export class Sampler {
  readonly samples: FleetSample[] = [];
  private running = true;
  private finished: Promise<void> | undefined;

  private constructor(
    private readonly fleet: Fleet,
    private readonly load: LoadRunner
  ) {}

  static create(fleet: Fleet, load: LoadRunner): Sampler {
    return new Sampler(fleet, load);
  }

  start(): void {
    this.finished = this.collectSamples();
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.finished;
  }

  private async collectSamples(): Promise<void> {
    while (this.running) {
      const startMs = performance.now();
      this.samples.push(await this.sample());
      const tookMs = performance.now() - startMs;
      await sleep(Math.max(0, SAMPLE_INTERVAL_MS - tookMs));
    }
  }

  private async sample(): Promise<FleetSample> {
    const atMs = performance.now();
    const counters = CUSTOMERS.map(({name}) => this.load.countersOf(name));
    const service = counters.map(customer => customer.service);
    const waiting = counters.map(customer => customer.waiting);
    const engines = this.fleet.targets.filter(
      target => target.options.service === MODEL_SERVICE && target.running
    );
    const [loads, routers] = await Promise.all([
      Promise.all(engines.map(engine => engine.runningNow())),
      sampleRouters(this.fleet),
    ]);
    let busySlots = 0;
    for (const running of loads) {
      busySlots += Math.min(running, SLOTS_PER_ENGINE);
    }
    let queued = 0;
    for (const {cells} of routers) {
      for (const cell of cells) {
        if (cell.service !== PLAIN_SERVICE) queued += cell.waitingHere;
      }
    }
    const slots = engines.length * SLOTS_PER_ENGINE;
    return {atMs, service, waiting, busySlots, slots, queued, routers};
  }
}

/** Returns the status of all routers that respond. */
export async function sampleRouters(fleet: Fleet): Promise<RouterSample[]> {
  const statuses = await Promise.all(fleet.routers.map(r => r.status()));
  return statuses.filter((s): s is RouterSample => s !== undefined);
}

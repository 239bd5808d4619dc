import {Random, sleep} from '@applebend/utils';
import {customerEntry} from '../sample_config.js';
import {siteConfig} from './site.js';

import type {Faults} from '@applebend/standins';
import type {Fleet} from '../fleet.js';
import type {Router} from '../router.js';
import type {Target} from '../target.js';

type FaultName =
  | 'crash_router'
  | 'crash_domain'
  | 'replace_router'
  | 'freeze_router'
  | 'isolate_router'
  | 'stall_pair'
  | 'crash_target'
  | 'freeze_target'
  | 'sever_streams'
  | 'leave_target'
  | 'log_down'
  | 'log_slow'
  | 'log_loses_answers'
  | 'list_down'
  | 'racing_operators';

/** A time in which a target was listed as leaving, by `performance.now()`. */
export interface TargetDeparture {
  readonly target: string;
  readonly leftAtMs: number;
  /** When it was removed from the instance list. */
  readonly removedAtMs: number;
}

/** Mean time between two faults; the times are exponentially distributed. */
const MEAN_INTERVAL_MS = 1500;
const MS_PER_S = 1000;
/** Operators that publish a change at the same time. */
const OPERATORS = 3;

/**
 * Injects random faults into a fleet, drawn from a seeded generator. Each
 * resource has one fault at a time; faults of different resources overlap.
 */
export class FaultSchedule {
  /** How often each fault was drawn, also if its resource had one already. */
  readonly counts = new Map<FaultName, number>();
  readonly departures: TargetDeparture[] = [];
  private readonly random: Random;
  private readonly underFault = new Set<Router | Target | string>();
  private readonly pending = new Set<Promise<void>>();
  private customersAdded = 0;

  private readonly handlers: Readonly<Record<FaultName, () => Promise<void>>> =
    {
      crash_router: () =>
        this.onRouter(index =>
          this.fleet.crash(index, this.randomDurationMs(1, 5))
        ),
      crash_domain: () => this.crashDomain(),
      replace_router: () => this.onRouter(index => this.fleet.replace(index)),
      freeze_router: () =>
        this.onRouter(async index => {
          this.fleet.router(index).freeze();
          await sleep(this.randomDurationMs(0.5, 5));
          this.fleet.router(index).thaw();
        }),
      isolate_router: () =>
        this.onRouter(async index => {
          this.fleet.links.isolate(index);
          await sleep(this.randomDurationMs(0.5, 5));
          this.fleet.links.rejoin(index);
        }),
      stall_pair: () =>
        this.onRouter(async index => {
          const other = (index + 1) % this.fleet.routers.length;
          this.fleet.links.stall(index, other);
          await sleep(this.randomDurationMs(0.5, 4));
          this.fleet.links.heal(index, other);
        }),
      crash_target: () =>
        this.onTarget(async target => {
          await target.kill();
          await sleep(this.randomDurationMs(0.2, 3));
          await target.start();
        }),
      freeze_target: () =>
        this.onTarget(async target => {
          target.freeze();
          await sleep(this.randomDurationMs(0.5, 4));
          target.thaw();
        }),
      sever_streams: () =>
        this.onTarget(async target => {
          await target.control({severStreams: true});
          await sleep(this.randomDurationMs(0.01, 0.2));
          await target.control({});
        }),
      leave_target: () => this.onTarget(target => this.leave(target)),
      log_down: () => this.onLog({down: true}, this.randomDurationMs(0.5, 4)),
      log_slow: () => this.onLog({delayMs: 400}, this.randomDurationMs(1, 4)),
      log_loses_answers: () =>
        this.onLog({loseAnswers: 0.3}, this.randomDurationMs(1, 4)),
      list_down: () => this.onList(),
      racing_operators: () => this.raceOperators(),
    };

  private constructor(
    private readonly fleet: Fleet,
    seed: number
  ) {
    this.random = Random.create(seed);
  }

  static create(fleet: Fleet, seed: number): FaultSchedule {
    return new FaultSchedule(fleet, seed);
  }

  /** Injects faults for a time, then waits until all have ended. */
  async run(seconds: number): Promise<void> {
    const endMs = performance.now() + seconds * MS_PER_S;
    const names = Object.keys(this.handlers) as FaultName[];
    while (performance.now() < endMs) {
      const name = this.random.pick(names);
      this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
      const fault: Promise<void> = this.handlers[name]().finally(() =>
        this.pending.delete(fault)
      );
      this.pending.add(fault);
      await sleep(this.random.exponential(MEAN_INTERVAL_MS));
    }
    await Promise.all(this.pending);
  }

  private randomDurationMs(lowS: number, highS: number): number {
    return (lowS + this.random.uniform() * (highS - lowS)) * MS_PER_S;
  }

  private async onRouter(fault: (index: number) => Promise<void>) {
    const {routers} = this.fleet;
    const index = this.random.int(0, routers.length - 1);
    await this.runExclusively(routers[index] ?? '', () => fault(index));
  }

  /** Crashes all routers of a random failure domain at the same time. */
  private async crashDomain(): Promise<void> {
    const domains = this.fleet.routers.map(r => r.options.failureDomain);
    const crashedDomain = this.random.pick(domains);
    const downMs = this.randomDurationMs(1, 4);
    const crashes = this.fleet.routers.map((router, index) =>
      router.options.failureDomain === crashedDomain
        ? this.runExclusively(router, () => this.fleet.crash(index, downMs))
        : undefined
    );
    await Promise.all(crashes);
  }

  private async onTarget(fault: (target: Target) => Promise<void>) {
    const target = this.random.pick(this.fleet.targets);
    await this.runExclusively(target, () => fault(target));
  }

  /** Runs a fault unless the resource already has one. */
  private async runExclusively(
    resource: Router | Target | string,
    fault: () => Promise<void>
  ): Promise<void> {
    if (this.underFault.has(resource)) return;
    this.underFault.add(resource);
    await fault();
    this.underFault.delete(resource);
  }

  /** Takes a target out of service and puts it back later. */
  private async leave(target: Target): Promise<void> {
    this.fleet.listTarget(target, 'leaving');
    const leftAtMs = performance.now();
    await sleep(this.randomDurationMs(5, 8));
    const removedAtMs = performance.now();
    this.fleet.list.remove(target.id);
    this.departures.push({target: target.id, leftAtMs, removedAtMs});
    await sleep(this.randomDurationMs(3, 4));
    this.fleet.listTarget(target, 'live');
  }

  private async onLog(faults: Partial<Faults>, durationMs: number) {
    const {server} = this.fleet.log;
    await this.runExclusively('log', async () => {
      const before = server.faults;
      server.faults = {...before, ...faults};
      await sleep(durationMs);
      server.faults = before;
    });
  }

  private async onList(): Promise<void> {
    const {server} = this.fleet.list;
    await this.runExclusively('list', async () => {
      const before = server.faults;
      server.faults = {...before, down: true};
      await sleep(this.randomDurationMs(0.5, 4));
      server.faults = before;
    });
  }

  /**
   * Lets several operators publish changes of the same revision at once; at
   * most one of them can be accepted.
   */
  private async raceOperators(): Promise<void> {
    try {
      const base = await this.fleet.configState();
      const attempts = Array.from({length: OPERATORS}, () => {
        this.customersAdded += 1;
        const name = `extra-${this.customersAdded}`;
        const config = siteConfig(1);
        const customers = {
          ...config.customers,
          [name]: customerEntry(name, 'standard'),
        };
        return this.fleet.publishFrom(base, {...config, customers});
      });
      await Promise.allSettled(attempts);
    } catch {
      // The log may be down because of another fault.
      return;
    }
  }
}

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  diffConfigs,
  fleetConfigSchema,
  INITIAL_CONFIG_STATE,
} from '@applebend/core';
import {
  CONFIG_STREAM,
  HttpLogClient,
  readConfigPage,
} from '@applebend/externals';
import {InstanceListService, LogService} from '@applebend/standins';
import {sleep, TaggedError} from '@applebend/utils';
import {PEER_PORT, Router} from './router.js';
import {FleetLinks} from './fleet_links.js';
import {Target} from './target.js';

import type {ConfigState, FleetConfig} from '@applebend/core';

/** The targets of one service; `args` are options of their stand-ins. */
export interface ServicePlan {
  readonly name: string;
  readonly kind: 'engine' | 'plain';
  readonly targets: number;
  readonly args: readonly string[];
}

/** The processes and configuration of a fleet. */
export interface FleetOptions {
  readonly routers: number;
  readonly policy: string;
  readonly services: readonly ServicePlan[];
  /** The configuration, before it is validated. */
  readonly config: unknown;
  readonly timing?: Readonly<Record<string, number>>;
  readonly listLagMs?: number;
  readonly retentionMs?: number;
  readonly logLevel?: string;
  readonly onLog?: (router: string, line: string) => void;
}

/** The start of a run at a target; `key` is its idempotency key or tag. */
export interface RunRecord {
  readonly target: string;
  readonly key: string;
  readonly atMs: number;
}

const DOMAINS = ['hall-a', 'hall-b', 'hall-c'];
// Last octets of the loopback addresses, then the port of the first target.
const FIRST_ROUTER = 1;
const FIRST_RELAY = 101;
const TARGET_HOST = 200;
const FIRST_TARGET_PORT = 20_000;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const SUBNETS_PER_OCTET = 250;

/**
 * Daemon processes with stand-ins for the platform and the targets, on a
 * loopback subnet derived from the process id, so that the fleets of several
 * processes can run at once. Links between routers go through relays.
 */
export class Fleet {
  readonly routers: Router[] = [];
  readonly targets: Target[] = [];
  readonly runs: RunRecord[] = [];
  onRun: (key: string) => void = () => {};
  log!: LogService;
  list!: InstanceListService;
  /** The links between the routers. */
  readonly links = FleetLinks.create(index => this.hostOf(index));
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'applebend-'));
  private readonly subnet: string;
  private readonly notAccepting = new Set<number>();

  private constructor(private readonly options: FleetOptions) {
    const subnetNumber = process.pid % (SUBNETS_PER_OCTET * SUBNETS_PER_OCTET);
    const secondOctet = 1 + Math.floor(subnetNumber / SUBNETS_PER_OCTET);
    this.subnet = `127.${secondOctet}.${1 + (subnetNumber % SUBNETS_PER_OCTET)}`;
  }

  /** Starts all processes and waits until the routers are ready. */
  static async create(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    await fleet.start();
    return fleet;
  }

  get settingsFolder(): string {
    return this.folder;
  }

  router(index: number): Router {
    const router = this.routers[index];
    if (router === undefined) throw rigError(`no router with index ${index}`);
    return router;
  }

  target(id: string): Target {
    const target = this.targets.find(other => other.id === id);
    if (target === undefined) throw rigError(`no target ${id}`);
    return target;
  }

  hostOf(index: number): string {
    return `${this.subnet}.${FIRST_ROUTER + index}`;
  }

  private relayHostOf(index: number): string {
    return `${this.subnet}.${FIRST_RELAY + index}`;
  }

  accepting(index: number): boolean {
    return this.router(index).running && !this.notAccepting.has(index);
  }

  /** Sets whether the load balancer sends callers to a router. */
  setAccepting(index: number, accepting: boolean): void {
    if (accepting) this.notAccepting.delete(index);
    else this.notAccepting.add(index);
  }

  /** Returns how often targets started a run for a key or tag. */
  runCount(key: string): number {
    return this.runs.filter(run => run.key === key).length;
  }

  /** Publishes a configuration; returns its revision if it is accepted. */
  async publish(config: unknown): Promise<number> {
    return this.publishFrom(await this.configState(), config);
  }

  /** Publishes a configuration as a change of an earlier read state. */
  publishFrom(state: ConfigState, config: unknown): Promise<number> {
    return this.publishDiff(state, fleetConfigSchema.parse(config));
  }

  /** Reads the current configuration from the log. */
  async configState(): Promise<ConfigState> {
    let state = INITIAL_CONFIG_STATE;
    for (;;) {
      const read = await readConfigPage(this.logClient(), state, 0);
      if (!read.ok) throw TaggedError.create(read.err);
      state = read.value.state;
      if (read.value.caughtUp) return state;
    }
  }

  logClient(): HttpLogClient {
    return HttpLogClient.create({
      baseUrl: this.log.server.url,
      timeoutMs: 2000,
    });
  }

  async waitUntilReady(): Promise<void> {
    await this.waitUntil('all routers are ready', async () => {
      const running = this.routers.filter(router => router.running);
      const ready = await Promise.all(running.map(r => r.isReady()));
      return ready.every(Boolean);
    });
  }

  /** Waits until a condition holds; throws after `timeoutMs`. */
  async waitUntil(
    what: string,
    condition: () => Promise<boolean> | boolean,
    timeoutMs = READY_TIMEOUT_MS
  ): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > endMs)
        throw rigError(`timed out waiting until ${what}`);
      await sleep(POLL_MS);
    }
  }

  /** Starts a stopped router again, as a new incarnation. */
  async restart(index: number): Promise<void> {
    const router = this.router(index);
    router.start();
    this.listRouter(index, 'live');
    await this.waitUntil(`${router.id} is ready`, () => router.isReady());
  }

  /** Puts a router, by the address of its relay, on the instance list. */
  listRouter(index: number, state: 'live' | 'leaving'): void {
    this.list.put({
      id: this.router(index).id,
      role: 'router',
      service: '',
      host: this.relayHostOf(index),
      port: PEER_PORT,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      state,
    });
  }

  listTarget(target: Target, state: 'live' | 'leaving'): void {
    const {id, service, host, port} = target.options;
    const failureDomain = '';
    const role = 'target';
    this.list.put({id, role, service, host, port, failureDomain, state});
  }

  /** Shuts a router down gracefully and restarts it, as the platform does. */
  async replace(index: number): Promise<void> {
    this.listRouter(index, 'leaving');
    await this.router(index).terminate();
    await this.restart(index);
  }

  /** Kills a router, unlists it at half of `downMs`, restarts it at its end. */
  async crash(index: number, downMs: number): Promise<void> {
    await this.router(index).kill();
    await sleep(downMs / 2);
    this.list.remove(this.router(index).id);
    await sleep(downMs / 2);
    await this.restart(index);
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map(router => router.kill()));
    await Promise.all(this.targets.map(target => target.kill()));
    await this.links.close();
    await this.log.server.close();
    await this.list.server.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async start(): Promise<void> {
    const host = `${this.subnet}.${TARGET_HOST}`;
    const base = {host, port: 0, seed: 1};
    this.log = await LogService.create({
      ...base,
      retentionMs: this.options.retentionMs ?? 3_600_000,
      maxAppendsPerSecond: 300,
    });
    this.list = await InstanceListService.create({
      ...base,
      lagMs: this.options.listLagMs ?? 1000,
    });
    await this.startTargets(host);
    await this.publishDiff(
      INITIAL_CONFIG_STATE,
      fleetConfigSchema.parse(this.options.config)
    );
    await this.startRouters();
    await this.waitUntilReady();
  }

  private async startTargets(host: string): Promise<void> {
    let port = FIRST_TARGET_PORT;
    for (const plan of this.options.services) {
      for (let i = 1; i <= plan.targets; i++) {
        const target = Target.create({
          id: `${plan.name}-${i}`,
          service: plan.name,
          kind: plan.kind,
          host,
          port: port++,
          args: plan.args,
          onRun: (id, key) => {
            this.runs.push({target: id, key, atMs: performance.now()});
            this.onRun(key);
          },
        });
        this.targets.push(target);
        this.listTarget(target, 'live');
      }
    }
    await Promise.all(this.targets.map(target => target.start()));
  }

  private async startRouters(): Promise<void> {
    for (let index = 0; index < this.options.routers; index++) {
      const router = Router.create({
        id: `entry-${index + 1}`,
        host: this.hostOf(index),
        failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
        folder: this.folder,
        policy: this.options.policy,
        logUrl: this.log.server.url,
        listUrl: this.list.server.url,
        timing: this.options.timing ?? {},
        logLevel: this.options.logLevel ?? 'warn',
        onLog: this.options.onLog ?? (() => {}),
      });
      this.routers.push(router);
      await this.links.add(this.relayHostOf(index));
      this.listRouter(index, 'live');
    }
    for (const router of this.routers) router.start();
  }

  private async publishDiff(
    state: ConfigState,
    config: FleetConfig
  ): Promise<number> {
    const {upserts, removals} = diffConfigs(state.config, config);
    const appended = await this.logClient().append(CONFIG_STREAM, {
      type: 'change',
      changeId: `rig-${state.revision}-${performance.now()}`,
      base: state.revision,
      author: 'rig',
      upserts,
      removals,
    });
    if (!appended.ok) throw TaggedError.create(appended.err);
    return appended.value + 1;
  }
}

function rigError(what: string): TaggedError {
  return TaggedError.create({kind: 'rig_failed', message: `rig: ${what}`});
}

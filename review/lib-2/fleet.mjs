/** Starts instances as the deploy file does, each at a loopback address. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const FIRST_HOST = 21;
const READY_TIMEOUT_MS = 20_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The bounds of a small deployment, as its pages give them. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  downgradeSlackMs: 250,
  stretchMaxMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetMinRetries: 58,
  recoverS: 12,
  passMs: 120,
  againS: 10,
  quotaWindowS: 4,
};

function runCommand() {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
}

function isFree(host, port) {
  const server = net.createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function findPorts(hosts) {
  for (let i = 0; i < 800; i++) {
    const first = 10_000 + ((process.pid * 7 + i) % 1000) * 20;
    const ports = {peers: first, metrics: first + 15, front: first + 16};
    Object.assign(ports, {ready: first + 17, control: first + 18});
    const all = hosts.flatMap(h => Object.values(ports).map(p => isFree(h, p)));
    if ((await Promise.all(all)).every(Boolean)) return ports;
  }
  throw new Error('no free ports');
}

/** One instance, which can be killed and started again. */
export class Instance {
  ends = [];
  constructor(fleet, index) {
    const zone = ZONES[index % ZONES.length];
    Object.assign(this, {fleet, index, zone, host: fleet.hosts[index]});
    this.name = `edge-${zone}-${index + 1}`;
    this.file = path.join(fleet.folder, `${this.name}.toml`);
    this.output = '';
  }

  start(isBootstrap) {
    writeFileSync(this.file, this.settings(isBootstrap));
    const [command, ...args] = runCommand();
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, APPLEBEND_SETTINGS: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on(
        'data',
        data => (this.output = (this.output + data).slice(-2_000_000))
      );
    }
    this.startedAtMs = Date.now();
    this.ended = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        this.ends.push({code, signal});
        resolve({code, signal});
      })
    );
  }

  signal(name) {
    if (this.child?.exitCode === null && this.child.signalCode === null) {
      this.child.kill(name);
    }
  }

  async kill() {
    this.signal('SIGKILL');
    await this.ended;
  }

  isReady() {
    const {host, fleet} = this;
    return new Promise(resolve => {
      const req = http.get(
        {
          host,
          port: fleet.ports.ready,
          path: '/ready',
          agent: false,
          timeout: 1000,
        },
        res => {
          res.resume();
          resolve(res.statusCode === 200);
        }
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  async whenReady() {
    const untilMs = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > untilMs) throw new Error(`${this.name} is not ready`);
      await sleep(50);
    }
  }

  settings(isBootstrap) {
    const {fleet, host, zone, name} = this;
    const {ports, hosts, store, bounds, limits} = fleet;
    const seeds = hosts.slice(0, 3).map(h => `"${h}:${ports.control}"`);
    const table = values =>
      Object.entries(values)
        .map(([key, value]) => `${key} = ${value}`)
        .join('\n');
    return `node = "${name}"
role = "router"
class = "edge"
serves = ["edge", "control"]
ip = "${host}"
zone = "${zone}"
region = "oulu"
internalPorts = [${ports.peers}, ${ports.metrics}]
seeds = [${seeds.join(', ')}]
bootstrap = ${isBootstrap}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
hall-a = "oulu"
hall-b = "oulu"
hall-c = "oulu"
[listen]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
[limits]
${table({...{cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}, ...limits})}
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
${table(bounds)}
[platform]
address = "${store.host ?? '127.0.0.1'}:${store.port}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
recordBytes = 262144
callBytes = 2097152
keep_s = 300
ttlMinMs = 1000
`;
  }
}

export class Fleet {
  static async create(count, store, {bounds = {}, limits = {}} = {}) {
    const fleet = new Fleet();
    fleet.hosts = Array.from(
      {length: count},
      (_, i) => `127.0.0.${FIRST_HOST + i}`
    );
    fleet.store = store;
    fleet.bounds = {...BOUNDS, ...bounds};
    fleet.limits = limits;
    fleet.ports = await findPorts(fleet.hosts);
    fleet.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    fleet.instances = fleet.hosts.map((_, i) => new Instance(fleet, i));
    process.once('exit', () => fleet.endAll());
    for (const name of ['SIGINT', 'SIGTERM'])
      process.once(name, () => process.exit(2));
    for (const instance of fleet.instances) instance.start(true);
    await Promise.all(fleet.instances.map(instance => instance.whenReady()));
    return fleet;
  }

  endAll() {
    for (const instance of this.instances) instance.signal('SIGKILL');
  }

  async close() {
    for (const instance of this.instances) await instance.kill();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends one request; resolves when its answer or its connection has ended. */
export function call({
  host,
  port,
  method = 'POST',
  path: url,
  headers,
  body,
  agent = false,
  timeoutMs = 20_000,
}) {
  const call = {status: 0, body: '', isComplete: false, headers: {}, error: ''};
  return new Promise(resolve => {
    const req = http.request({host, port, method, path: url, headers, agent});
    const timer = setTimeout(
      () => req.destroy(new Error('too late')),
      timeoutMs
    );
    const end = () => {
      clearTimeout(timer);
      resolve(call);
    };
    req.on('error', err => {
      call.error = err.message;
      end();
    });
    req.on('response', res => {
      call.status = res.statusCode;
      call.headers = res.headers;
      res.on('data', data => (call.body += data));
      res.on('error', err => (call.error = err.message));
      res.on('close', () => {
        call.isComplete = res.complete;
        end();
      });
    });
    req.end(body);
  });
}

/**
 * Starts the project's program as separate processes, with the `run` line of
 * the deploy file and settings like those that `fleetbench wire` shows.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 20_000;
/** A case that takes longer ends as one that could not run. */
const MAX_CASE_MS = 115_000;
const EXIT = {held: 0, broken: 1, failedToRun: 2};

/** The words of the `run` line of the deploy file. */
function runWords() {
  const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const line = /^run = "(.*)"$/m.exec(deploy);
  if (line === null) throw new Error('no run line in deploy/system.toml');
  return line[1].split(' ');
}

/** Writes `record.txt` of a case, with the time since the start. */
export class CaseRecord {
  constructor(caseUrl) {
    this.file = fileURLToPath(new URL('record.txt', caseUrl));
    this.startMs = performance.now();
    writeFileSync(this.file, '');
    this.write = this.write.bind(this);
  }

  write(event, fields = {}) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    const text = typeof fields === 'string' ? fields : JSON.stringify(fields);
    appendFileSync(this.file, `${seconds.padStart(8)} ${event} ${text}\n`);
  }
}

function portIsFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A port that is free at all hosts, with `count` free ones from it on. */
async function freePorts(hosts, count) {
  for (let tries = 0; tries < 200; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const checks = [];
    for (const host of hosts) {
      for (let i = 0; i < count; i++) checks.push(portIsFree(host, first + i));
    }
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new Error('no free ports');
}

/** The instances of a small deployment, each at a loopback address of its own. */
export class Fleet {
  instances = [];

  static async create({store, record, count, bounds = {}}) {
    const fleet = new Fleet();
    fleet.dir = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    fleet.record = record;
    fleet.bounds = bounds;
    const hosts = Array.from({length: count}, (_, i) => `127.0.0.${11 + i}`);
    const first = await freePorts(hosts, 19);
    fleet.ports = {
      internal: [first, first + 15],
      front: first + 16,
      ready: first + 17,
      control: first + 18,
    };
    for (const [i, host] of hosts.entries()) {
      const door = await store.openDoor('127.0.0.1');
      const zone = `hall-${'abc'[i % 3]}`;
      const name = `edge-${zone}-${i + 1}`;
      const settings = path.join(fleet.dir, `${name}.toml`);
      fleet.instances.push({name, host, zone, door, settings, isFirst: true});
    }
    return fleet;
  }

  settingsOf({name, host, zone, door, proxy, isFirst}) {
    const {internal, front, ready, control} = this.ports;
    const seeds = this.instances.slice(0, 3);
    return `node = "${name}"
role = "router"
class = "edge"
serves = ["edge","control"]
ip = "${host}"
zone = "${zone}"
region = "tema"
internalPorts = [${internal.join(',')}]
seeds = [${seeds.map(seed => `"${seed.host}:${control}"`).join(',')}]
bootstrap = ${isFirst}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]

[zones]
hall-a = "tema"
hall-b = "tema"
hall-c = "tema"

[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
control = "${host}:${control}"

[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 2
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
stretchMaxMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 58
recoverS = 12
passMs = 120
againS = 10
quotaWindowS = 4

[platform]
address = "127.0.0.1:${proxy?.port ?? door.port}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`;
  }

  /** Starts an instance; `bootstrap` is true the first time only. */
  start(instance) {
    writeFileSync(instance.settings, this.settingsOf(instance));
    instance.isFirst = false;
    const [command, ...args] = runWords();
    const {PATH, HOME, LANG} = process.env;
    instance.output = path.join(this.dir, `${instance.name}.log`);
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, APPLEBEND_SETTINGS: instance.settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    process.setMaxListeners(0);
    process.once('exit', () => child.kill('SIGKILL'));
    instance.child = child;
    instance.exit = undefined;
    child.stdout.on('data', data => appendFileSync(instance.output, data));
    child.stderr.on('data', data => appendFileSync(instance.output, data));
    instance.ended = new Promise(resolve => {
      child.on('exit', (code, signal) => {
        instance.exit = {code, signal};
        this.record.write('process ends', {node: instance.name, code, signal});
        resolve();
      });
    });
    this.record.write('process starts', {node: instance.name});
  }

  signal(instance, signal) {
    this.record.write('signal', {node: instance.name, signal});
    instance.child.kill(signal);
  }

  /** Resolves when all given instances report ready. */
  async whenReady(instances = this.instances) {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const instance of instances) {
      while (!(await this.isReady(instance))) {
        if (performance.now() > untilMs) throw new Error('fleet is not ready');
        await sleep(50);
      }
    }
    this.record.write('ready', instances.map(({name}) => name).join(' '));
  }

  isReady({host}) {
    return new Promise(resolve => {
      const {ready: port} = this.ports;
      const req = http.get({host, port, path: '/ready', agent: false}, res => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.setTimeout(1000, () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  /** Ends all processes that were started and removes the folder. */
  async close() {
    for (const {child, exit} of this.instances) {
      if (child !== undefined && exit === undefined) child.kill('SIGKILL');
    }
    await Promise.all(this.instances.map(({ended}) => ended));
    if (process.env.KEEP === undefined) rmSync(this.dir, {recursive: true});
  }
}

let attemptCount = 0;

/** An id of a client's attempt, as the pages show them. */
export function nextAttemptId() {
  attemptCount += 1;
  return `a${String(attemptCount).padStart(7, '0')}`;
}

/**
 * Sends one attempt of a client. Resolves with the status, or 0 if the
 * connection ended without an answer, and whether the body was whole.
 */
export function call(fleet, instance, options) {
  const {method = 'GET', path: url, host, key, headers = {}, body} = options;
  const {
    deadlineMs = 15_000,
    attempt = nextAttemptId(),
    agent = false,
  } = options;
  const {record} = fleet;
  const sentMs = performance.now();
  record.write('sent', {
    attempt,
    node: instance.name,
    method,
    url,
    ...options.note,
  });
  return new Promise(resolve => {
    let text = '';
    let status = 0;
    let answer = {};
    let isDone = false;
    const end = isWhole => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const seal = answer['response-seal'];
      const tookMs = Math.round(performance.now() - sentMs);
      record.write('answered', {
        attempt,
        status,
        isWhole,
        seal,
        tookMs,
        text: text.slice(-60),
      });
      resolve({
        attempt,
        status,
        isWhole,
        seal,
        text,
        headers: answer,
        sentMs,
        endedMs: performance.now(),
      });
    };
    const req = http.request({
      host: instance.host,
      port: fleet.ports.front,
      method,
      path: url,
      agent,
      headers: {
        Host: host,
        'Attempt-Id': attempt,
        'Deadline-Ms': String(deadlineMs),
        ...(key && {Authorization: `Bearer ${key}`}),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      req.destroy();
      end(false);
    }, deadlineMs);
    req.on('error', () => end(false));
    req.on('response', res => {
      status = res.statusCode;
      answer = res.headers;
      options.onHead?.(res);
      res.on('data', data => {
        text += data;
        options.onData?.(text);
      });
      res.on('error', () => end(false));
      res.on('close', () => end(res.complete));
    });
    req.end(body);
  });
}

/** Runs a case and exits: 1 if the rule was broken, 0 if not, 2 if it failed. */
export async function runCase(caseUrl, body) {
  const record = new CaseRecord(caseUrl);
  const closers = [];
  let code = EXIT.failedToRun;
  const giveUp = () => process.exit(EXIT.failedToRun);
  process.once('SIGTERM', giveUp);
  process.once('SIGINT', giveUp);
  setTimeout(giveUp, MAX_CASE_MS).unref();
  try {
    const isBroken = await body(record, closer => closers.push(closer));
    code = isBroken ? EXIT.broken : EXIT.held;
  } catch (err) {
    record.write('could not run', String(err?.stack ?? err));
    console.error(err);
  }
  for (const closer of closers.reverse()) await closer();
  const words = {
    0: 'the rule held',
    1: 'the rule was broken',
    2: 'could not run',
  };
  record.write('result', words[code]);
  console.log(words[code]);
  process.exit(code);
}

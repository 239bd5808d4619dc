import {once} from 'node:events';
import {EventEmitter} from 'node:events';
import {fileURLToPath} from 'node:url';
import {requestJson} from '@applebend/externals';
import {Child} from './child.js';

/** Address, kind and options of a target. */
export interface TargetOptions {
  readonly id: string;
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  readonly host: string;
  readonly port: number;
  /** Further command-line options of the stand-in. */
  readonly args: readonly string[];
  /** Called when a run starts, with the key or tag of the request. */
  readonly onRun: (target: string, key: string) => void;
}

const STANDINS = fileURLToPath(
  new URL('../../../standins/dist/main.js', import.meta.url)
);

/** A line that a stand-in prints: its URL once it listens, or a run's key. */
interface StandInLine {
  readonly url?: string;
  readonly run?: string;
}

/** A stand-in process for a target, which can be killed, frozen and restarted. */
export class Target {
  private child: Child | undefined;
  private readonly events = new EventEmitter();

  private constructor(readonly options: TargetOptions) {}

  static create(options: TargetOptions): Target {
    return new Target(options);
  }

  get id(): string {
    return this.options.id;
  }

  get url(): string {
    return `http://${this.options.host}:${this.options.port}`;
  }

  /** Exit code, or null if the process runs or was ended by a signal. */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  get running(): boolean {
    return this.child !== undefined && !this.child.exited;
  }

  /** Starts the process and waits until it listens. */
  async start(): Promise<void> {
    const {kind, host, port, args} = this.options;
    this.child = Child.create({
      args: [STANDINS, kind, '--host', host, '--port', String(port), ...args],
      onLine: line => this.onLine(line),
      onErrorLine: line => process.stderr.write(`${this.id}: ${line}\n`),
    });
    await once(this.events, 'up');
  }

  async kill(): Promise<void> {
    await this.child?.kill();
  }

  /** Suspends the process; its connections stay open. */
  freeze(): void {
    this.child?.signal('SIGSTOP');
  }

  thaw(): void {
    this.child?.signal('SIGCONT');
  }

  /** Sets the faults of the stand-in; faults left out are switched off. */
  async control(faults: unknown): Promise<void> {
    const {host, port} = this.options;
    await requestJson({
      method: 'POST',
      url: `http://${host}:${port}/control`,
      body: faults,
      timeoutMs: 2000,
    });
  }

  /** Returns how many requests an engine runs, or 0 if it does not respond. */
  async runningNow(): Promise<number> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.url}/now`,
      timeoutMs: 1000,
    });
    if (!response.ok) return 0;
    return (response.value.body as {running: number}).running;
  }

  private onLine(line: string): void {
    const {url, run} = JSON.parse(line) as StandInLine;
    if (url !== undefined) this.events.emit('up');
    if (run !== undefined) this.options.onRun(this.id, run);
  }
}

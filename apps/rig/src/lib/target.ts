/** One target process of the rig's fleet. */
import {once} from 'node:events';
import {EventEmitter} from 'node:events';
import {fileURLToPath} from 'node:url';
import {requestJson} from '@applebend/externals';
import {Child} from './child.js';

/** What a target is started from. */
export interface TargetOptions {
  readonly id: string;
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  readonly host: string;
  readonly port: number;
  readonly args: readonly string[];
  /** Called as each run starts, with the caller's key or tag. */
  readonly onRun: (target: string, key: string) => void;
}

const STANDINS = fileURLToPath(
  new URL('../../../standins/dist/main.js', import.meta.url)
);

interface StandInLine {
  readonly url?: string;
  readonly run?: string;
}

/** A target that can be killed, frozen and started again. */
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

  /** Set when the process ended by itself. */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  get running(): boolean {
    return this.child !== undefined && !this.child.exited;
  }

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

  freeze(): void {
    this.child?.signal('SIGSTOP');
  }

  thaw(): void {
    this.child?.signal('SIGCONT');
  }

  /** Switches the faults of the stand-in. */
  async control(faults: unknown): Promise<void> {
    const {host, port} = this.options;
    await requestJson({
      method: 'POST',
      url: `http://${host}:${port}/control`,
      body: faults,
      timeoutMs: 2000,
    });
  }

  /** Requests that an engine runs now. */
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

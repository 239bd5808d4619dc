import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify} from 'smol-toml';
import {requestJson} from '@applebend/externals';
import {Child} from './child.js';

/** Address and settings of a router. */
export interface RouterOptions {
  readonly id: string;
  readonly host: string;
  readonly failureDomain: string;
  /** Where its settings file is written. */
  readonly folder: string;
  readonly policy: string;
  readonly logUrl: string;
  readonly listUrl: string;
  /** The `[timing]` table of the settings, in milliseconds. */
  readonly timing: Readonly<Record<string, number>>;
  readonly logLevel: string;
  /** Called with each line that the router prints. */
  readonly onLog: (router: string, line: string) => void;
}

export const CALLER_PORT = 8080;
export const PEER_PORT = 7070;
export const ADMIN_PORT = 9090;

const DAEMON = fileURLToPath(
  new URL('../../../daemon/bin/applebendd.mjs', import.meta.url)
);

/** A daemon process that can be killed, frozen and restarted. */
export class Router {
  private child: Child | undefined;
  private readonly settingsFile: string;

  private constructor(readonly options: RouterOptions) {
    this.settingsFile = path.join(options.folder, `${options.id}.toml`);
    writeFileSync(this.settingsFile, stringify(this.settings()));
  }

  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  get id(): string {
    return this.options.id;
  }

  get url(): string {
    return `http://${this.options.host}:${CALLER_PORT}`;
  }

  get adminUrl(): string {
    return `http://${this.options.host}:${ADMIN_PORT}`;
  }

  /** Process id, or -1 before the first start. */
  get pid(): number {
    return this.child?.pid ?? -1;
  }

  get running(): boolean {
    return this.child !== undefined && !this.child.exited;
  }

  get exitCode(): number | null | undefined {
    return this.child?.exitCode;
  }

  start(): void {
    const {id, onLog} = this.options;
    this.child = Child.create({
      args: [DAEMON, '--config', this.settingsFile],
      onLine: line => onLog(id, line),
      onErrorLine: line => onLog(id, line),
    });
  }

  async kill(): Promise<void> {
    await this.child?.kill();
  }

  /** Starts a graceful shutdown and waits for the exit. */
  async terminate(): Promise<void> {
    this.child?.signal('SIGTERM');
    await this.child?.waitForExit();
  }

  /** Suspends the process; its connections stay open. */
  freeze(): void {
    this.child?.signal('SIGSTOP');
  }

  thaw(): void {
    this.child?.signal('SIGCONT');
  }

  async isReady(): Promise<boolean> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.adminUrl}/readyz`,
      timeoutMs: 1000,
    });
    return response.ok && response.value.status === 200;
  }

  /** Returns the status page, or undefined if the router does not respond. */
  async status(): Promise<unknown> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.adminUrl}/status`,
      timeoutMs: 1000,
    });
    return response.ok ? response.value.body : undefined;
  }

  private settings() {
    const {id, host, failureDomain, policy, logUrl, listUrl} = this.options;
    return {
      instance: id,
      failure_domain: failureDomain,
      policy,
      log_level: this.options.logLevel,
      link_secret: 'a secret for the links of the rig',
      listen: {
        caller: {host, port: CALLER_PORT},
        peer: {host, port: PEER_PORT},
        admin: {host, port: ADMIN_PORT},
      },
      platform: {log_url: logUrl, list_url: listUrl},
      timing: {...this.options.timing},
    };
  }
}

import {setImmediate as nextTurn} from 'node:timers/promises';
import {describeError} from './error_fields.js';
import {ignoreErrorEvents} from './log_output.js';
import {exitAfter, shutDownOnFault} from './process_faults.js';

import type {Logger} from './logger.js';
import type {HandledSignal, ProcessSignals} from './process_signals.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;

/** What a process runs until it is told to stop. @public */
export interface Service {
  /** Lets running work finish. Repeated calls return the same promise. */
  shutDown(): Promise<void>;
  /** Calls back once the service has stopped, also by itself. */
  onStopped?(callback: () => void): void;
}

/** How a process runs its service. @public */
export interface ProcessOptions {
  readonly log: Logger;
  readonly signals: ProcessSignals;
  /**
   * Starts the service. Once the signal is aborted, the start may be given up by a
   * rejection; a service that started all the same is shut down.
   */
  readonly start: (stopSignal: AbortSignal) => Promise<Service>;
  /** The process ends this long after a stop signal; without it, when all ended. */
  readonly stopLimitMs?: number;
  /** The process ends this long after a fault. */
  readonly faultLimitMs: number;
}

/** Why a process ends. */
interface Ending {
  readonly reason: string;
  readonly sinceMs: number;
}

/**
 * Runs a service until a stop signal, a fault, or its own end; logs why the process
 * ends and returns its exit code. Further stop signals and SIGHUP change nothing.
 *
 * @public
 */
export async function runProcess(options: ProcessOptions): Promise<number> {
  return ProcessRun.create(options).run();
}

class ProcessRun {
  private readonly stop = new AbortController();
  private ending: Ending | undefined;
  private exitCode = EXIT_OK;
  private finished: Promise<number> | undefined;

  private constructor(private readonly options: ProcessOptions) {}

  static create(options: ProcessOptions): ProcessRun {
    return new ProcessRun(options);
  }

  run(): Promise<number> {
    const {log, signals, faultLimitMs} = this.options;
    ignoreErrorEvents(process.stdout);
    ignoreErrorEvents(process.stderr);
    shutDownOnFault(log, () => this.onFault(), faultLimitMs);
    log.info('process started', {pid: process.pid, node: process.version});
    signals.listen(signal => this.onSignal(signal));
    this.finished = this.runService();
    return this.finished;
  }

  private async runService(): Promise<number> {
    // Signals that came while the modules were evaluated are delivered first. That
    // takes a whole turn of the event loop, and this one has polled already.
    await nextTurn();
    await nextTurn();
    const service = await this.start();
    if (service !== undefined) {
      service.onStopped?.(() => this.end('stopped'));
      await this.whenEnding();
      await this.shutDown(service);
    }
    this.logEnd();
    return this.exitCode;
  }

  private async start(): Promise<Service | undefined> {
    const {signal} = this.stop;
    if (signal.aborted) return undefined;
    try {
      return await this.options.start(signal);
    } catch (err) {
      if (!signal.aborted) this.onStartFailed(err);
      return undefined;
    }
  }

  private onStartFailed(err: unknown): void {
    this.options.log.error('start failed', describeError(err));
    this.exitCode = EXIT_FAILED;
    this.end('start failed');
  }

  private whenEnding(): Promise<void> {
    const {signal} = this.stop;
    return new Promise(resolve => {
      if (signal.aborted) resolve();
      else signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  private async shutDown(service: Service): Promise<void> {
    try {
      await service.shutDown();
    } catch (err) {
      this.options.log.error('shutdown failed', describeError(err));
      this.exitCode = EXIT_FAILED;
    }
  }

  private onSignal(signal: HandledSignal): void {
    const {log, stopLimitMs} = this.options;
    if (signal === 'SIGHUP') {
      log.info('SIGHUP ignored; settings are read only at start');
      return;
    }
    if (this.ending !== undefined) {
      log.info('stop signal ignored; already stopping', {signal});
      return;
    }
    log.info('stop signal', {signal});
    if (stopLimitMs !== undefined) exitAfter(log, stopLimitMs);
    this.end(signal);
  }

  /** Resolves once the process may exit. */
  private async onFault(): Promise<void> {
    this.exitCode = EXIT_FAILED;
    this.end('fault');
    await this.finished;
  }

  private end(reason: string): void {
    if (this.ending !== undefined) return;
    this.ending = {reason, sinceMs: performance.now()};
    this.stop.abort();
  }

  private logEnd(): void {
    const {reason, sinceMs} = this.ending ?? {reason: 'stopped', sinceMs: 0};
    this.options.log.info('process ends', {
      reason,
      code: this.exitCode,
      drainedMs: Math.round(performance.now() - sinceMs),
    });
  }
}

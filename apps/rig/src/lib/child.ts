import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

import type {ChildProcess} from 'node:child_process';

/** How to start a child process. */
export interface ChildOptions {
  /** Arguments of `node`: the program and its own arguments. */
  readonly args: readonly string[];
  /** Called with each line of the standard output. */
  readonly onLine: (line: string) => void;
  /** Called with each line of the standard error. */
  readonly onErrorLine: (line: string) => void;
}

/**
 * A Node.js child process: a daemon, a stand-in or the operators' tool. Signals
 * go to this process alone, by its id.
 */
export class Child {
  private constructor(private readonly process: ChildProcess) {}

  static create(options: ChildOptions): Child {
    const child = spawn(process.execPath, [...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const [stream, onLine] of [
      [child.stdout, options.onLine],
      [child.stderr, options.onErrorLine],
    ] as const) {
      if (stream !== null) createInterface(stream).on('line', onLine);
    }
    return new Child(child);
  }

  /** Process id, or -1 if the process could not be started. */
  get pid(): number {
    return this.process.pid ?? -1;
  }

  get exited(): boolean {
    return this.process.exitCode !== null || this.process.signalCode !== null;
  }

  /** Exit code, or null if the process runs or was ended by a signal. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  signal(name: NodeJS.Signals): void {
    if (!this.exited) this.process.kill(name);
  }

  /** Resolves when the process has exited. */
  async waitForExit(): Promise<void> {
    if (!this.exited) await once(this.process, 'exit');
  }

  /** Kills the process, even if it is frozen, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}

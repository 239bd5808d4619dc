/** A process of the rig: one daemon or one stand-in. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

import type {ChildProcess} from 'node:child_process';

/** What a process is started from. */
export interface ChildOptions {
  readonly args: readonly string[];
  readonly onLine: (line: string) => void;
  readonly onErrorLine: (line: string) => void;
}

/** A started process, which is ended by its own id only. */
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

  get pid(): number {
    return this.process.pid ?? -1;
  }

  get exited(): boolean {
    return this.process.exitCode !== null || this.process.signalCode !== null;
  }

  get exitCode(): number | null {
    return this.process.exitCode;
  }

  signal(name: NodeJS.Signals): void {
    if (!this.exited) this.process.kill(name);
  }

  /** Resolves when the process is over. */
  async waitForExit(): Promise<void> {
    if (!this.exited) await once(this.process, 'exit');
  }

  /** Kills the process, frozen or not, and waits for its end. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
  }
}

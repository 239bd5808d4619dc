import {fileURLToPath} from 'node:url';
import {Child} from './child.js';

/** Output and exit code of one run of the operators' tool. */
export interface ToolRun {
  /** Lines of the standard output and the standard error. */
  readonly output: string;
  readonly exitCode: number | null;
}

const TOOL = fileURLToPath(
  new URL('../../../cli/bin/applebend.mjs', import.meta.url)
);

/** Runs the operators' tool and waits for its exit. */
export async function runTool(args: readonly string[]): Promise<ToolRun> {
  const lines: string[] = [];
  const child = Child.create({
    args: [TOOL, ...args],
    onLine: line => lines.push(line),
    onErrorLine: line => lines.push(line),
  });
  await child.waitForExit();
  return {output: lines.join('\n'), exitCode: child.exitCode};
}

/** Runs the operators' tool as a process. */
import {fileURLToPath} from 'node:url';
import {Child} from './child.js';

/** What one call of the tool printed and returned. */
export interface ToolRun {
  readonly output: string;
  readonly exitCode: number | null;
}

const TOOL = fileURLToPath(
  new URL('../../../cli/bin/applebend.mjs', import.meta.url)
);

/** Runs one call of the tool to its end. */
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

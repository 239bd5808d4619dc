import {parseArgs} from 'node:util';
import {errorMessage} from '@applebend/utils';
import {
  checkCommand,
  getCommand,
  hashKeyCommand,
  historyCommand,
  publishCommand,
} from './lib/commands/config_commands.js';
import {explainCommand, fairnessCommand} from './lib/commands/log_commands.js';
import {drainCommand, statusCommand} from './lib/commands/instance_commands.js';
import {EXIT_CODE, EXIT_CODE_BY_ERROR} from './lib/command_result.js';

import type {Command} from './lib/commands/command.js';
import type {ExitCode, CommandOutput, ToolError} from './lib/command_result.js';

const COMMANDS: Readonly<Record<string, Command>> = {
  check: checkCommand,
  publish: publishCommand,
  get: getCommand,
  history: historyCommand,
  status: statusCommand,
  drain: drainCommand,
  'hash-key': hashKeyCommand,
  explain: explainCommand,
  fairness: fairnessCommand,
};

const OPTIONS = {
  settings: {type: 'string'},
  base: {type: 'string'},
  author: {type: 'string'},
  wait: {type: 'boolean', default: false},
  json: {type: 'boolean', default: false},
  help: {type: 'boolean', default: false},
} as const;

const EXIT_HELP =
  'Exit codes: 0 done, 1 failed, 2 usage or file invalid, 3 rejected,\n' +
  '4 outcome unknown, 5 not in force in time.';

/**
 * The `applebend` command-line tool for operators. Runs the command that `argv`
 * names and returns the exit code.
 */
async function main(argv: readonly string[]): Promise<ExitCode> {
  let parsed;
  try {
    parsed = parseArgs({
      args: [...argv],
      allowPositionals: true,
      options: OPTIONS,
    });
  } catch (err) {
    return printError({kind: 'usage', message: errorMessage(err)}, false);
  }
  const {values, positionals} = parsed;
  const [name, ...args] = positionals;
  const command = name === undefined ? undefined : COMMANDS[name];
  if (values.help || name === undefined) {
    console.log(
      command === undefined ? overviewText() : commandHelpText(command)
    );
    return values.help ? EXIT_CODE.ok : EXIT_CODE.usage;
  }
  if (command === undefined) {
    const message = `no command is named "${name}"`;
    return printError({kind: 'usage', message}, values.json);
  }
  if (!acceptsArgumentCount(command, args.length)) {
    const message = `usage: applebend ${command.usage}`;
    return printError({kind: 'usage', message}, values.json);
  }
  const settings = values.settings ?? process.env['APPLEBEND_SETTINGS'];
  const {base, author, wait} = values;
  const result = await command.run(args, {settings, base, author, wait});
  if (!result.ok) return printError(result.err, values.json);
  printOutput(result.value, values.json);
  return EXIT_CODE.ok;
}

function acceptsArgumentCount(
  {requiredArgs, lastArgRepeats}: Command,
  count: number
): boolean {
  return lastArgRepeats
    ? count >= requiredArgs.length
    : count === requiredArgs.length;
}

function overviewText(): string {
  const lines = Object.values(COMMANDS).map(
    command => `  ${command.usage.padEnd(52)} ${command.summary}`
  );
  return [
    'usage: applebend COMMAND [--settings FILE] [--json] [--help]',
    '',
    ...lines,
    '',
    'APPLEBEND_SETTINGS names the settings file when --settings does not.',
    EXIT_HELP,
  ].join('\n');
}

function commandHelpText(command: Command): string {
  return `usage: applebend ${command.usage}\n\n${command.summary}\n\n${EXIT_HELP}`;
}

function printOutput(output: CommandOutput, json: boolean): void {
  console.log(json ? JSON.stringify(output.data) : output.lines.join('\n'));
}

function printError(err: ToolError, json: boolean): ExitCode {
  console.error(json ? JSON.stringify({error: err}) : err.message);
  return EXIT_CODE_BY_ERROR[err.kind];
}

process.exitCode = await main(process.argv.slice(2));

import type {Result} from '@applebend/utils';
import type {CommandOutput, ToolError} from '../command_result.js';

/** The parsed command-line options that commands use. @public */
export interface CommandOptions {
  /** Path of the tool's settings file. */
  readonly settings: string | undefined;
  /** The revision that a change is based on. */
  readonly base: string | undefined;
  /** Author of a change; by default the name of the operating system's user. */
  readonly author: string | undefined;
  /** Whether to wait until all instances apply the change. */
  readonly wait: boolean;
}

/** A subcommand of the tool. @public */
export interface Command {
  /** The command's name and arguments, as printed in the help text. */
  readonly usage: string;
  readonly summary: string;
  /** Names of the required arguments. */
  readonly requiredArgs: readonly string[];
  /** Whether the last argument may be repeated. */
  readonly lastArgRepeats?: boolean;
  readonly run: (
    args: readonly string[],
    options: CommandOptions
  ) => Promise<Result<CommandOutput, ToolError>>;
}

/** What every subcommand is. */
import type {Result} from '@applebend/utils';
import type {CommandOutput, ToolError} from '../command_result.js';

/** The options of a call, as they were parsed. @public */
export interface CommandOptions {
  readonly settings: string | undefined;
  readonly base: string | undefined;
  readonly author: string | undefined;
  readonly wait: boolean;
}

/** @public */
export interface Command {
  readonly usage: string;
  readonly summary: string;
  /** Names of the arguments that it needs. */
  readonly requiredArgs: readonly string[];
  /** Whether the last argument may be given more than once. */
  readonly lastArgRepeats?: boolean;
  readonly run: (
    args: readonly string[],
    options: CommandOptions
  ) => Promise<Result<CommandOutput, ToolError>>;
}

/** What every subcommand is. */
import type {Result} from '@applebend/utils';
import type {Output, ToolError} from '../outcome.js';

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
  readonly needs: readonly string[];
  /** Whether the last argument may be given more than once. */
  readonly takesMore?: boolean;
  readonly run: (
    args: readonly string[],
    options: CommandOptions
  ) => Promise<Result<Output, ToolError>>;
}

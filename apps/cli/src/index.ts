/** The command-line tool's exit codes, for programs that run it. */
export {EXIT_CODE} from './lib/command_result.js';
export type {ExitCode, ToolError} from './lib/command_result.js';

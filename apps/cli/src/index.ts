/** The tool's exit codes, for programs that call it. */
export {EXIT_CODE} from './lib/command_result.js';
export type {ExitCode, ToolError} from './lib/command_result.js';

/** The tool's exit codes, for programs that call it. */
export {EXIT} from './lib/outcome.js';
export type {ExitCode, ToolError} from './lib/outcome.js';

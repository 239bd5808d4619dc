/**
 * Logs, metrics and traces.
 *
 * @packageDocumentation
 */
export {LOG_LEVEL, Logger} from './lib/logger.js';
export type {LogFields, LogLevel} from './lib/logger.js';
export {Metrics} from './lib/metrics.js';
export {RequestTrace, Tracing} from './lib/tracing.js';
export type {TraceHeaders, TracingOptions} from './lib/tracing.js';
export {shutDownOnFault} from './lib/process_faults.js';
export {runProcess} from './lib/process_run.js';
export type {ProcessOptions, Service} from './lib/process_run.js';

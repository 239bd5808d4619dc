/** Small stand-ins for the platform and the targets, for tests and the rig. */
export {tokenAt} from './lib/engine_batch.js';
export type {EngineSpeed} from './lib/engine_batch.js';
export {InstanceListService} from './lib/instance_list.js';
export type {Instance, InstanceListOptions} from './lib/instance_list.js';
export {LogService} from './lib/log_service.js';
export type {LogServiceOptions} from './lib/log_service.js';
export {CRASH_MARKER, ModelEngine} from './lib/model_engine.js';
export type {EngineRecord, ModelEngineOptions} from './lib/model_engine.js';
export {PlainService} from './lib/plain_service.js';
export type {PlainRecord, PlainServiceOptions} from './lib/plain_service.js';
export {StandInServer} from './lib/stand_in_server.js';
export type {Faults, ServerOptions} from './lib/stand_in_server.js';

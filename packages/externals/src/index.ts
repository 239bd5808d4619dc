/** Clients of the log service, the instance list and the engines. */
export {CONFIG_STREAM, readConfigPage} from './lib/config_reader.js';
export type {ConfigRead, ConfigReadError} from './lib/config_reader.js';
export {
  CHAT_COMPLETIONS_PATH,
  parseChatCall,
  parseUsage,
  streamResumePath,
} from './lib/engine_api.js';
export type {ChatCall, EngineUsage} from './lib/engine_api.js';
export {EngineStream} from './lib/engine_stream.js';
export type {StreamEvent} from './lib/engine_stream.js';
export {requestJson} from './lib/http_json.js';
export type {
  JsonResponse,
  JsonRequest,
  TransportError,
} from './lib/http_json.js';
export {HttpInstanceListClient} from './lib/instance_list_client.js';
export type {
  InstanceList,
  InstanceListOptions,
  ListedInstance,
  InstanceListError,
} from './lib/instance_list_client.js';
export {HttpLogClient} from './lib/log_client.js';
export type {
  LogClientOptions,
  LogError,
  LogPage,
  LogRecord,
  LogService,
} from './lib/log_client.js';

import {userInfo} from 'node:os';
import {diffConfigs, fleetConfigSchema} from '@applebend/core';
import {fail, ok, sha256Hex} from '@applebend/utils';
import {stringify} from 'smol-toml';
import {ConfigStream} from '../config_stream.js';
import {waitUntilInForce} from '../admin_client.js';
import {describeIssues, loadToolSettings, readToml} from '../tool_settings.js';

import type {ChangeOutcome, ConfigState, FleetConfig} from '@applebend/core';
import type {Result} from '@applebend/utils';
import type {CommandOutput, ToolError} from '../command_result.js';
import type {ToolSettings} from '../tool_settings.js';
import type {Command, CommandOptions} from './command.js';

const IN_FORCE_TIMEOUT_MS = 10_000;
const REVISION = /^\d+$/;

/** Validates a configuration file. @public */
export const checkCommand: Command = {
  usage: 'check FILE',
  summary: 'check a configuration file',
  requiredArgs: ['FILE'],
  run: async ([file = '']) => {
    const config = loadConfig(file);
    if (!config.ok) return config;
    const {services, templates, customers} = config.value;
    const counts = {
      services: Object.keys(services).length,
      templates: Object.keys(templates).length,
      customers: Object.keys(customers).length,
    };
    const text = Object.entries(counts).map(([k, v]) => `${v} ${k}`);
    return ok({lines: [`${file}: valid, ${text.join(', ')}`], data: counts});
  },
};

/** Publishes a configuration file as a change to a given revision. @public */
export const publishCommand: Command = {
  usage: 'publish FILE --base REV [--author NAME] [--wait]',
  summary: 'make a file the configuration, if REV is still in force',
  requiredArgs: ['FILE'],
  run: async ([file = ''], options) => {
    const {base} = options;
    if (base === undefined || !REVISION.test(base)) {
      return fail({kind: 'usage', message: 'publish needs --base REV'});
    }
    const config = loadConfig(file);
    if (!config.ok) return config;
    const settings = toolSettings(options);
    if (!settings.ok) return settings;
    return publish(settings.value, config.value, Number(base), options);
  },
};

/** Prints the newest configuration on the log. @public */
export const getCommand: Command = {
  usage: 'get',
  summary: 'print the configuration in force and its revision',
  requiredArgs: [],
  run: async (_args, options) => {
    const state = await readState(options);
    if (!state.ok) return state;
    const {revision, config} = state.value;
    const lines = [`# revision ${revision}`, stringify(config)];
    return ok({lines, data: {revision, config}});
  },
};

/** Lists the latest changes with their outcomes. @public */
export const historyCommand: Command = {
  usage: 'history',
  summary: 'list the latest changes and what became of them',
  requiredArgs: [],
  run: async (_args, options) => {
    const state = await readState(options);
    if (!state.ok) return state;
    const {outcomes} = state.value;
    return ok({lines: outcomes.map(describeOutcome), data: outcomes});
  },
};

/** Prints the hash of an API key. @public */
export const hashKeyCommand: Command = {
  usage: 'hash-key KEY',
  summary: 'print the hash of an API key for a customer entry',
  requiredArgs: ['KEY'],
  run: async ([key = '']) => {
    const hash = sha256Hex(key);
    return ok({lines: [hash], data: {hash}});
  },
};

/** Loads the settings file that the options name. @public */
export function toolSettings(
  options: CommandOptions
): Result<ToolSettings, ToolError> {
  const file = options.settings;
  if (file !== undefined) return loadToolSettings(file);
  const message = 'name the tool settings: --settings FILE';
  return fail({kind: 'usage', message});
}

/** Reads the configuration from the log that the options name. */
async function readState(
  options: CommandOptions
): Promise<Result<ConfigState, ToolError>> {
  const settings = toolSettings(options);
  if (!settings.ok) return settings;
  return ConfigStream.create(settings.value).read();
}

async function publish(
  settings: ToolSettings,
  config: FleetConfig,
  base: number,
  options: CommandOptions
): Promise<Result<CommandOutput, ToolError>> {
  const stream = ConfigStream.create(settings);
  const state = await stream.read();
  if (!state.ok) return state;
  if (state.value.revision !== base) {
    return rejected(`base ${base}, in force ${state.value.revision}`);
  }
  const author = options.author ?? userInfo().username;
  const diff = diffConfigs(state.value.config, config);
  const outcome = await stream.publish(base, author, diff);
  if (!outcome.ok) return outcome;
  if (!outcome.value.accepted) return rejected(outcome.value.reason);
  // The revision of an accepted change is the log offset after it.
  const revision = outcome.value.offset + 1;
  if (options.wait) {
    const waited = await waitUntilInForce(
      settings,
      revision,
      IN_FORCE_TIMEOUT_MS
    );
    if (!waited.ok) return waited;
  }
  const status = options.wait ? 'in force everywhere' : 'accepted';
  const lines = [`revision ${revision}: ${status}`];
  return ok({lines, data: {revision, changeId: outcome.value.changeId}});
}

function loadConfig(file: string): Result<FleetConfig, ToolError> {
  const raw = readToml(file, 'file_invalid');
  if (!raw.ok) return raw;
  const parsed = fleetConfigSchema.safeParse(raw.value);
  if (parsed.success) return ok(parsed.data);
  const message = describeIssues(file, parsed.error);
  return fail({kind: 'file_invalid', message});
}

function rejected(reason: string): Result<never, ToolError> {
  return fail({kind: 'change_rejected', message: reason});
}

function describeOutcome(outcome: ChangeOutcome): string {
  const {offset, changeId, accepted, reason} = outcome;
  const result = accepted ? `accepted as revision ${offset + 1}` : reason;
  return `${offset}  ${changeId}  ${result}`;
}

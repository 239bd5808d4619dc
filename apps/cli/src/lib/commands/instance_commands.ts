/** The subcommands that work on running instances. */
import {match} from 'ts-pattern';
import {ok} from '@applebend/utils';
import {askAll, askDrain} from '../instances.js';
import {toolSettings} from './config_commands.js';

import type {InstanceReport} from '../instances.js';
import type {Command} from './command.js';

/** @public */
export const statusCommand: Command = {
  usage: 'status',
  summary: 'show instances, targets, queues and applied revisions',
  needs: [],
  run: async (_args, options) => {
    const settings = toolSettings(options);
    if (!settings.ok) return settings;
    const reports = await askAll(settings.value);
    const data = reports.map(({name, status}) =>
      status.ok ? status.value : {instance: name, error: status.err}
    );
    return ok({lines: reports.flatMap(describeReport), data});
  },
};

/** @public */
export const drainCommand: Command = {
  usage: 'drain INSTANCE',
  summary: 'shut one instance down without cutting any request',
  needs: ['INSTANCE'],
  run: async ([name = ''], options) => {
    const settings = toolSettings(options);
    if (!settings.ok) return settings;
    const asked = await askDrain(settings.value, name);
    if (!asked.ok) return asked;
    return ok({lines: [`${name}: draining`], data: {draining: name}});
  },
};

function describeReport({name, status}: InstanceReport): string[] {
  return match(status)
    .with({ok: false}, ({err}) => [`${name}  unreachable  ${err.message}`])
    .with({ok: true}, ({value}) => {
      const state = value.ready ? 'ready' : value.unreadiness.join('; ');
      const {revision, openRequests, failureDomain} = value;
      const head = `${name}  ${failureDomain}  ${state}  revision ${revision}  open ${openRequests}`;
      const cells = value.cells.map(cell => {
        const leaving = cell.targets.filter(target => target.leaving).length;
        return (
          `  ${cell.service}: dispatcher ${cell.dispatcher ?? 'none'}, ` +
          `waiting ${cell.waitingHere}, running ${cell.heldHere}, ` +
          `targets ${cell.targets.length} (${leaving} leaving)`
        );
      });
      return [head, ...cells];
    })
    .exhaustive();
}

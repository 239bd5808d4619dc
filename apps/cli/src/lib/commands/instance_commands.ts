import {match} from 'ts-pattern';
import {ok} from '@applebend/utils';
import {fetchAllStatuses, requestDrain} from '../admin_client.js';
import {toolSettings} from './config_commands.js';

import type {InstanceReport} from '../admin_client.js';
import type {Command} from './command.js';

/** Shows the status of all instances. @public */
export const statusCommand: Command = {
  usage: 'status',
  summary: 'show instances, targets, queues and applied revisions',
  requiredArgs: [],
  run: async (_args, options) => {
    const settings = toolSettings(options);
    if (!settings.ok) return settings;
    const reports = await fetchAllStatuses(settings.value);
    const data = reports.map(({name, status}) =>
      status.ok ? status.value : {instance: name, error: status.err}
    );
    return ok({lines: reports.flatMap(describeReport), data});
  },
};

/** Shuts an instance down gracefully. @public */
export const drainCommand: Command = {
  usage: 'drain INSTANCE',
  summary: 'shut one instance down without cutting any request',
  requiredArgs: ['INSTANCE'],
  run: async ([name = ''], options) => {
    const settings = toolSettings(options);
    if (!settings.ok) return settings;
    const requested = await requestDrain(settings.value, name);
    if (!requested.ok) return requested;
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

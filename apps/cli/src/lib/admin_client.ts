import {z} from 'zod';
import {requestJson} from '@applebend/externals';
import {fail, ok, sleep} from '@applebend/utils';

import type {Result} from '@applebend/utils';
import type {ToolError} from './command_result.js';
import type {ToolSettings} from './tool_settings.js';

const REQUEST_TIMEOUT_MS = 2000;
const POLL_MS = 100;

const statusSchema = z.object({
  instance: z.string(),
  failureDomain: z.string(),
  ready: z.boolean(),
  unreadiness: z.array(z.string()),
  revision: z.number(),
  openRequests: z.number(),
  cells: z.array(
    z.object({
      service: z.string(),
      dispatcher: z.string().optional(),
      waitingHere: z.number(),
      heldHere: z.number(),
      targets: z.array(z.object({id: z.string(), leaving: z.boolean()})),
      stats: z.record(z.string(), z.number()),
    })
  ),
});

/** The status that an instance reports on its admin port. @public */
export type InstanceStatus = z.infer<typeof statusSchema>;

/** The status of an instance, or why it could not be read. @public */
export interface InstanceReport {
  readonly name: string;
  readonly status: Result<InstanceStatus, ToolError>;
}

/** Reads the status of all instances in the settings. @public */
export function fetchAllStatuses(
  settings: ToolSettings
): Promise<InstanceReport[]> {
  const reports = Object.entries(settings.instances).map(
    async ([name, url]): Promise<InstanceReport> => ({
      name,
      status: await fetchStatus(name, url),
    })
  );
  return Promise.all(reports);
}

/** Requests a graceful shutdown of an instance. @public */
export async function requestDrain(
  settings: ToolSettings,
  name: string
): Promise<Result<void, ToolError>> {
  const url = settings.instances[name];
  if (url === undefined) {
    return fail({kind: 'usage', message: `no instance is named "${name}"`});
  }
  const response = await requestJson({
    method: 'POST',
    url: `${url}/drain`,
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
  return response.ok ? ok(undefined) : unreachable(name, response.err.message);
}

/**
 * Waits until all instances in the settings have applied a revision. An
 * instance that can't be reached counts as one that has not.
 *
 * @public
 */
export async function waitUntilInForce(
  settings: ToolSettings,
  revision: number,
  timeoutMs: number
): Promise<Result<void, ToolError>> {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const reports = await fetchAllStatuses(settings);
    const behind = reports
      .filter(({status}) => !status.ok || status.value.revision < revision)
      .map(({name}) => name);
    if (behind.length === 0) return ok(undefined);
    if (performance.now() > deadlineMs) {
      const message = `not in force at: ${behind.join(', ')}`;
      return fail({kind: 'not_in_force', message});
    }
    await sleep(POLL_MS);
  }
}

async function fetchStatus(
  name: string,
  url: string
): Promise<Result<InstanceStatus, ToolError>> {
  const response = await requestJson({
    method: 'GET',
    url: `${url}/status`,
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
  if (!response.ok) return unreachable(name, response.err.message);
  const parsed = statusSchema.safeParse(response.value.body);
  if (parsed.success) return ok(parsed.data);
  return unreachable(name, 'malformed status');
}

function unreachable(name: string, reason: string): Result<never, ToolError> {
  const message = `${name}: ${reason}`;
  return fail({kind: 'instance_unreachable', message});
}

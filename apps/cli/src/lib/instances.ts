/** Asks running instances over their admin ports. */
import {z} from 'zod';
import {requestJson} from '@applebend/externals';
import {fail, ok, sleep} from '@applebend/utils';

import type {Result} from '@applebend/utils';
import type {ToolError} from './outcome.js';
import type {ToolSettings} from './tool_settings.js';

const TIMEOUT_MS = 2000;
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

/** What one instance says of itself. @public */
export type InstanceStatus = z.infer<typeof statusSchema>;

/** One instance's answer, or why there is none. @public */
export interface InstanceReport {
  readonly name: string;
  readonly status: Result<InstanceStatus, ToolError>;
}

/** Asks all instances in the settings at once. @public */
export function askAll(settings: ToolSettings): Promise<InstanceReport[]> {
  const asked = Object.entries(settings.instances).map(
    async ([name, url]): Promise<InstanceReport> => ({
      name,
      status: await askStatus(name, url),
    })
  );
  return Promise.all(asked);
}

/** Asks one instance to shut down gracefully. @public */
export async function askDrain(
  settings: ToolSettings,
  name: string
): Promise<Result<void, ToolError>> {
  const url = settings.instances[name];
  if (url === undefined) {
    return fail({kind: 'usage', message: `no instance is named "${name}"`});
  }
  const reply = await requestJson({
    method: 'POST',
    url: `${url}/drain`,
    timeoutMs: TIMEOUT_MS,
  });
  return reply.ok ? ok(undefined) : unreachable(name, reply.err.message);
}

/** Waits until every instance that answers has a revision in force. */
export async function waitInForce(
  settings: ToolSettings,
  revision: number,
  timeoutMs: number
): Promise<Result<void, ToolError>> {
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const reports = await askAll(settings);
    const behind = reports
      .filter(({status}) => !status.ok || status.value.revision < revision)
      .map(({name}) => name);
    if (behind.length === 0) return ok(undefined);
    if (performance.now() > endMs) {
      const message = `not in force at: ${behind.join(', ')}`;
      return fail({kind: 'not_in_force', message});
    }
    await sleep(POLL_MS);
  }
}

async function askStatus(
  name: string,
  url: string
): Promise<Result<InstanceStatus, ToolError>> {
  const reply = await requestJson({
    method: 'GET',
    url: `${url}/status`,
    timeoutMs: TIMEOUT_MS,
  });
  if (!reply.ok) return unreachable(name, reply.err.message);
  const parsed = statusSchema.safeParse(reply.value.body);
  if (parsed.success) return ok(parsed.data);
  return unreachable(name, 'malformed status');
}

function unreachable(name: string, reason: string): Result<never, ToolError> {
  const message = `${name}: ${reason}`;
  return fail({kind: 'instance_unreachable', message});
}

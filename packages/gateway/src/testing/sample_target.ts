import type {Target} from '@applebend/routing';

/** A registered target at which nothing listens. */
export function sampleTarget(change: Partial<Target> = {}): Target {
  return {
    id: 't-1',
    service: 'app',
    host: '127.0.0.1',
    port: 9,
    failureDomain: 'hall-a',
    softwareVersion: 'v1',
    slots: 4,
    state: 'ready',
    startedAtMs: 1,
    registeredAt: 1,
    coldLeftMs: 0,
    ...change,
  };
}

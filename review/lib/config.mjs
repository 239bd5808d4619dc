/** Configurations of a small deployment, as `fleetbench wire` shows them. */

export const HOST = 'ficu95.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';

const ROUTE = {
  host: HOST,
  timeoutMs: 15_000,
  targetLatencyMs: 800,
  priority: 1,
  maxAttempts: 2,
  public: false,
  sticky: false,
  resumable: false,
  gapAimMs: 400,
};

export function route(name, pathPrefix, service, kind, change = {}) {
  return {name, ...ROUTE, pathPrefix, kind, service, ...change};
}

/** Routes that carry no requests, as a growing configuration has them. */
export function idleRoutes(count, service) {
  return Array.from({length: count}, (_, i) =>
    route(`r-${(1e6 + i).toString(36)}`, `/idle${1000 + i}/`, service, 'safe')
  );
}

export function config(version, routes, services, change = {}) {
  return {
    version,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/health',
      maxConns: 310,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
      tokensPerS: 308_000,
    },
    tenants: [{name: 'hule930', apiKeys: [KEY], priority: 1}],
    ...change,
  };
}

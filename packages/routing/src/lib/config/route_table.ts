import type {Route} from './fleet_config.js';

/** The routes of one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Length of the longest path prefix, in characters. */
  longestPrefix: number;
}

/**
 * Finds the route of a request by host and longest path prefix. Prefixes have
 * to end with a slash; others are never matched.
 *
 * @public
 */
export class RouteTable {
  private constructor(
    private readonly hosts: ReadonlyMap<string, HostRoutes>,
    /** Number of routes. */
    readonly size: number,
    /** The longest timeout of all routes; 0 without any. */
    readonly longestTimeoutMs: number
  ) {}

  static create(routes: readonly Route[]): RouteTable {
    const hosts = new Map<string, HostRoutes>();
    for (const route of routes) {
      const name = route.host.toLowerCase();
      const host = hosts.get(name) ?? {byPrefix: new Map(), longestPrefix: 0};
      const {pathPrefix} = route;
      host.byPrefix.set(pathPrefix, route);
      host.longestPrefix = Math.max(host.longestPrefix, pathPrefix.length);
      hosts.set(name, host);
    }
    const longestTimeoutMs = routes.reduce(
      (longestMs, {timeoutMs}) => Math.max(longestMs, timeoutMs),
      0
    );
    return new RouteTable(hosts, routes.length, longestTimeoutMs);
  }

  /**
   * Returns the route with the longest matching path prefix, or undefined if
   * none matches. The port of the host and the query of the URL are ignored.
   */
  find(hostHeader: string, url: string): Route | undefined {
    const host = this.hosts.get(hostName(hostHeader));
    if (host === undefined) return undefined;
    const query = url.indexOf('?');
    const path = query < 0 ? url : url.slice(0, query);
    // Longer prefixes match nothing, and a path may have thousands of slashes.
    let end = path.lastIndexOf('/', host.longestPrefix - 1);
    while (end >= 0) {
      const route = host.byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

/** The host that a Host header names, in lower case and without a port. @public */
export function hostName(hostHeader: string): string {
  const colon = hostHeader.indexOf(':');
  const name = colon < 0 ? hostHeader : hostHeader.slice(0, colon);
  return name.toLowerCase();
}

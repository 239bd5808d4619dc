import {Fleet} from '../fleet.js';
import {ENGINES, PLAIN_TARGETS, ROUTERS, siteServices} from './site.js';

import type {FleetOptions} from '../fleet.js';

/**
 * Starts a fleet of the site's size. The log lines of its routers go to
 * standard error.
 */
export function createSiteFleet(
  options: Omit<FleetOptions, 'routers' | 'services' | 'onLog'>
): Promise<Fleet> {
  return Fleet.create({
    ...options,
    routers: ROUTERS,
    services: siteServices(ENGINES, PLAIN_TARGETS),
    onLog: (router, line) => console.error(`${router}: ${line}`),
  });
}

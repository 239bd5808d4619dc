import {sleep} from '@applebend/utils';
import {Fleet} from '../fleet.js';
import {sampleRouters} from '../load/sampler.js';
import {SAMPLE_CONFIG} from '../sample_config.js';
import {recordSlope} from './slope_table.js';

import type {RouterSample} from '../load/sampler.js';

const MS_PER_S = 1000;
const MB = 1024 * 1024;
const IDLE_SETTLE_MS = 4000;
const IDLE_MS = 10_000;

/** Measures the costs of an idle instance, by the number of instances. */
export async function measureIdleFleets(): Promise<void> {
  for (const routers of [3, 9, 18]) {
    const fleet = await Fleet.create({
      routers,
      policy: 'dispatched',
      config: SAMPLE_CONFIG,
      services: [],
    });
    await sleep(IDLE_SETTLE_MS);
    const before = await sampleRouters(fleet);
    await sleep(IDLE_MS);
    const after = await sampleRouters(fleet);
    await fleet.stop();
    const meanOf = (figure: (status: RouterSample) => number) =>
      after.reduce((sum, status) => sum + figure(status), 0) / routers;
    const rateOf = (figure: (status: RouterSample) => number) => {
      const start = before.reduce((sum, status) => sum + figure(status), 0);
      const seconds = IDLE_MS / MS_PER_S;
      return (meanOf(figure) - start / routers) / seconds;
    };
    const bytes = rateOf(
      ({traffic}) => traffic.sentBytes + traffic.receivedBytes
    );
    recordSlope('idle instance, links', routers, 'B/s', bytes);
    const control = rateOf(status => status.controlSeconds);
    recordSlope(
      'idle instance, control',
      routers,
      '% of a core',
      control * 100
    );
    const memory = meanOf(status => status.rssBytes) / MB;
    recordSlope('idle instance, memory', routers, 'MB', memory);
  }
}

/**
 * One machine of three is turned away by the store for 8.9 s. Meanwhile the
 * operator writes configurations in quick succession; each has some 430 routes.
 * Later that machine, long in touch again, has to handle requests as the last
 * one says.
 */
import {config, HOST, idleRoutes, KEY, route} from '../lib/config.mjs';
import {answerAfter, Engine} from '../lib/engine.mjs';
import {call, Fleet, runCase, sleep} from '../lib/fleet.mjs';
import {Store} from '../lib/store.mjs';

/** `TROUBLE=0` does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

/** Within `big_config`, `config_storm` and `platform_down` of the site file. */
const ADDED_ROUTES = 420;
const STORM_VERSIONS = 12;
const STORM_GAP_MS = 330;
const TURNED_AWAY_MS = 8900;
/** Bounds of the settings. */
const STABLE_WINDOW_MS = 3000;
const CONFIG_APPLY_MS = 2000;
/** An unstable core stretches that bound. */
const STRETCH_MAX_MS = 5000;
const JUDGED_REQUESTS = 30;
const WORK_MS = 10;

const IDLE = idleRoutes(ADDED_ROUTES, 'app-a');

/** From the last version on `/moved/` goes to `app-b`, and `/dropped/` is gone. */
function versionOf(number, isLast, hasIdle) {
  const routes = [
    route('r-moved', '/moved/', isLast ? 'app-b' : 'app-a', 'safe', {
      public: true,
    }),
    route('r-keyed', '/keyed/', 'app-a', 'safe'),
    ...(isLast
      ? []
      : [route('r-dropped', '/dropped/', 'app-a', 'safe', {public: true})]),
    ...(hasIdle ? IDLE : []),
  ];
  return config(number, routes, ['app-a', 'app-b']);
}

await runCase(import.meta.url, async (record, onClose) => {
  const store = new Store();
  onClose(() => store.close());
  store.put('keyed.op', 'config', versionOf(1, false, false));
  for (const [id, service] of [
    ['i-a1', 'app-a'],
    ['i-a2', 'app-a'],
    ['i-b1', 'app-b'],
    ['i-b2', 'app-b'],
  ]) {
    const engine = await Engine.start({
      store,
      id,
      service,
      host: '127.0.0.5',
      record: record.write,
      handler: answerAfter(WORK_MS),
    });
    onClose(() => engine.close());
  }
  const fleet = await Fleet.create({store, record, count: 3});
  onClose(() => fleet.close());
  for (const instance of fleet.instances) fleet.start(instance);
  await fleet.whenReady();
  await sleep(3000);

  let ackMs = 0;
  const write = (number, isLast) => {
    const value = versionOf(number, isLast, true);
    store.put('keyed.op', 'config', value);
    ackMs = performance.now();
    record.write('configuration acknowledged', {
      version: number,
      bytes: JSON.stringify(value).length,
    });
  };
  write(2, false);
  await sleep(1500);
  const cut = fleet.instances[2];
  if (hasTrouble) {
    cut.door.isOpen = false;
    record.write('store turns away', {node: cut.name});
  }
  const outageMs = performance.now();
  await sleep(500);
  for (let i = 1; i <= STORM_VERSIONS; i++) {
    write(2 + 3 * i, i === STORM_VERSIONS);
    await sleep(STORM_GAP_MS);
  }
  await sleep(TURNED_AWAY_MS - (performance.now() - outageMs));
  if (hasTrouble) {
    cut.door.isOpen = true;
    record.write('store serves again', {node: cut.name});
  }
  const judgedFromMs = Math.max(
    performance.now() + STABLE_WINDOW_MS,
    ackMs + CONFIG_APPLY_MS + STRETCH_MAX_MS
  );
  await sleep(judgedFromMs - performance.now());
  record.write('machines are in touch, the last version has to be in force');

  let byOldService = 0;
  let onDroppedRoute = 0;
  const keyed = new Map();
  for (let i = 0; i < JUDGED_REQUESTS; i++) {
    for (const instance of fleet.instances) {
      const moved = await call(fleet, instance, {path: '/moved/x', host: HOST});
      const dropped = await call(fleet, instance, {
        path: '/dropped/x',
        host: HOST,
      });
      const other = await call(fleet, instance, {
        path: '/keyed/x',
        host: HOST,
        key: KEY,
      });
      if (moved.text.startsWith('app-a')) byOldService += 1;
      if (dropped.status === 200) onDroppedRoute += 1;
      const counts = `${instance.name} ${other.status}`;
      keyed.set(counts, (keyed.get(counts) ?? 0) + 1);
    }
    await sleep(200);
  }
  record.write('requests handled as only an older version allows', {
    byOldService,
    onDroppedRoute,
    ofEach: JUDGED_REQUESTS * fleet.instances.length,
  });
  record.write('answers on the keyed route', Object.fromEntries(keyed));
  return byOldService + onDroppedRoute > 0;
});

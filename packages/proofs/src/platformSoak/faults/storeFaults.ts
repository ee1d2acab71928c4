/**
 * The store busy, silent, slow, resetting, losing answers, without its history, and back from a copy.
 */
import { pickRandom, sleep } from '@snipehaven/common';
import type { StoreFault } from '@snipehaven/standins';
import type { Fault } from '../world.js';

const MIN_MS = 400;
const SPREAD_MS = 4_000;
const kinds: readonly StoreFault[] = ['busy', 'silent', 'reset', 'slow', 'lost'];

export const spoilStore: Fault = ({ store, faultLog }, random) =>
  faultLog.during('store', 'spoilStore', async () => {
    store.setFault(pickRandom(kinds, random) ?? 'busy');
    await sleep(MIN_MS + random.nextInt(SPREAD_MS));
    store.setFault('none');
  });

const MIN_COPY_AGE_MS = 500;
const COPY_AGE_SPREAD_MS = 4_000;
const MIN_AWAY_MS = 200;
const AWAY_SPREAD_MS = 500;
const REWRITE_SPREAD_MS = 1_000;
const MAX_RETURNS = 2;

/** Comes back from a copy, sometimes twice in series; lost rows are written again a little later. */
export const restoreStore: Fault = async ({ store, faultLog }, random) => {
  const returns = 1 + random.nextInt(MAX_RETURNS);
  for (let index = 0; index < returns; index += 1) {
    const copy = store.takeCopy();
    await sleep(MIN_COPY_AGE_MS + random.nextInt(COPY_AGE_SPREAD_MS));
    await faultLog.during('store', 'restoreStore', async () => {
      store.goAway();
      await sleep(MIN_AWAY_MS + random.nextInt(AWAY_SPREAD_MS));
      store.restore(copy);
      await sleep(random.nextInt(REWRITE_SPREAD_MS));
      store.rewrite();
    });
  }
};

export const dropHistory: Fault = ({ store, operator, faultLog }) =>
  faultLog.during('store', 'dropHistory', async () => {
    operator.apply();
    store.dropHistory();
    operator.apply();
    await sleep(MIN_MS);
  });

/** The store busy, silent, slow, resetting, losing answers, and without its history. */
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

export const dropHistory: Fault = ({ store, operator, faultLog }) =>
  faultLog.during('store', 'dropHistory', async () => {
    operator.apply();
    store.dropHistory();
    operator.apply();
    await sleep(MIN_MS);
  });

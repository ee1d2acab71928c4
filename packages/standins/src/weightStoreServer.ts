/** HTTP edge of the weight store. */
import { applyCommonControl, weightStoreControlSchema } from './control.js';
import { readJson, startEdge, type ListenOptions, type StandinServer } from './httpEdge.js';
import type { WeightStoreCore } from './weightStore.js';

const WEIGHTS_PATH = '/weights/';

/** Serves the weight store over HTTP. */
export const startWeightStoreServer = async (
  core: WeightStoreCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      'GET /weights/*': async (call) => {
        const version = decodeURIComponent(call.path.slice(WEIGHTS_PATH.length));
        return { status: 200, body: { bytes: await core.fetch(version, call.client) } };
      },
      'POST /control': async (call) => {
        const { readsPerSecond, ...common } = await readJson(call, weightStoreControlSchema);
        applyCommonControl(common, core.gate, server, call);
        if (readsPerSecond !== undefined) core.setRate(readsPerSecond);
        return { status: 200, body: {} };
      },
      'GET /truth': async () => ({ status: 200, body: core.getTruth() }),
    },
    options,
  );
  return server;
};

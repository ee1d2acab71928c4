/** HTTP edge of the list of VMs. */
import { applyCommonControl, vmListControlSchema } from './control.js';
import { readJson, startEdge, type ListenOptions, type StandinServer } from './httpEdge.js';
import type { VmListCore } from './vmList.js';

/** Serves the list over HTTP. */
export const startVmListServer = async (
  core: VmListCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      'GET /vms': async (call) => ({ status: 200, body: { vms: await core.list(call.client) } }),
      'POST /control': async (call) => {
        const { vms, putVm, removeVm, lagMs, ...common } = await readJson(
          call,
          vmListControlSchema,
        );
        applyCommonControl(common, core.gate, server, call);
        if (lagMs !== undefined) core.setLag(lagMs);
        if (vms) core.setVms(vms);
        if (putVm) core.putVm(putVm);
        if (removeVm !== undefined) core.removeVm(removeVm);
        return { status: 200, body: {} };
      },
      'GET /truth': async () => ({ status: 200, body: core.getTruth() }),
    },
    options,
  );
  return server;
};

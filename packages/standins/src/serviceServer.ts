/** HTTP edge of a plain service. */
import { applyCommonControl, serviceControlSchema } from './control.js';
import {
  getHeader,
  readBody,
  readJson,
  startEdge,
  type EdgeCall,
  type EdgeReply,
  type ListenOptions,
  type StandinServer,
} from './httpEdge.js';
import { pickGiven } from './pickGiven.js';
import type { ServiceCore } from './service.js';

const handleCall = async (core: ServiceCore, call: EdgeCall): Promise<EdgeReply> => {
  const fence = getHeader(call.request, 'x-fence');
  const reply = await core.call(
    {
      method: call.method,
      path: call.path,
      body: await readBody(call.request),
      requestKey: getHeader(call.request, 'x-request-key'),
      fence: fence === undefined ? undefined : Number(fence),
    },
    call.client,
  );
  return { status: 200, body: reply };
};

const handleControl = async (
  core: ServiceCore,
  call: EdgeCall,
  server: StandinServer,
): Promise<EdgeReply> => {
  const control = await readJson(call, serviceControlSchema);
  if (control.clearFaults) {
    core.clearFaults();
  }
  core.setFaults(pickGiven(control.serviceFaults ?? {}));
  core.setSizes(pickGiven(control.sizes ?? {}));
  if (control.leaving !== undefined) {
    core.setLeaving(control.leaving);
  }
  applyCommonControl(control, core.gate, server, call);
  return { status: 200, body: {} };
};

/** Serves a plain service over HTTP; `/control` and `/truth` are the stand-in's own. */
export const startServiceServer = async (
  core: ServiceCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      '* /*': (call) => handleCall(core, call),
      'POST /control': (call) => handleControl(core, call, server),
      'GET /truth': async () => ({ status: 200, body: core.getTruth() }),
    },
    options,
  );
  return server;
};

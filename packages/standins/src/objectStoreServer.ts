/** HTTP edge of the object store. */
import { applyCommonControl, commonControlSchema } from './control.js';
import { NotFoundError } from './errors.js';
import {
  readBody,
  readJson,
  startEdge,
  type EdgeCall,
  type ListenOptions,
  type StandinServer,
} from './httpEdge.js';
import type { ObjectStoreCore } from './objectStore.js';

const OBJECTS_PATH = '/objects/';

const getName = (call: EdgeCall): string =>
  decodeURIComponent(call.path.slice(OBJECTS_PATH.length));

/** Serves the object store over HTTP. */
export const startObjectStoreServer = async (
  core: ObjectStoreCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      'PUT /objects/*': async (call) => {
        const bytes = await readBody(call.request);
        await core.put(getName(call), bytes, call.client);
        return { status: 200, body: {} };
      },
      'GET /objects/*': async (call) => {
        const bytes = await core.get(getName(call), call.client);
        if (!bytes) {
          throw new NotFoundError(`no object ${getName(call)}`);
        }
        return { status: 200, body: bytes };
      },
      'DELETE /objects/*': async (call) => {
        await core.delete(getName(call), call.client);
        return { status: 200, body: {} };
      },
      'GET /objects': async (call) => {
        const names = await core.list(call.query.get('prefix') ?? '', call.client);
        return { status: 200, body: { names } };
      },
      'POST /control': async (call) => {
        applyCommonControl(await readJson(call, commonControlSchema), core.gate, server, call);
        return { status: 200, body: {} };
      },
      'GET /truth': async () => ({ status: 200, body: core.getTruth() }),
    },
    options,
  );
  return server;
};

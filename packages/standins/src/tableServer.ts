/** HTTP edge of the table. */
import { z } from 'zod';
import { applyCommonControl, tableControlSchema } from './control.js';
import { readJson, startEdge, type ListenOptions, type StandinServer } from './httpEdge.js';
import type { TableCore } from './table.js';

const transactSchema = z.object({
  transactions: z.array(
    z.object({
      conditions: z.array(z.object({ key: z.string(), version: z.int().min(0) })),
      writes: z.array(z.object({ key: z.string(), value: z.json() })),
    }),
  ),
});

const readSchema = z.object({ keys: z.array(z.string()) });

const scanSchema = z.object({
  prefix: z.string(),
  afterKey: z.string().optional(),
  limit: z.int().min(1),
});

/** Serves the table over HTTP. */
export const startTableServer = async (
  core: TableCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      'POST /table/transact': async (call) => {
        const { transactions } = await readJson(call, transactSchema);
        return { status: 200, body: { results: await core.transact(transactions, call.client) } };
      },
      'POST /table/read': async (call) => {
        const { keys } = await readJson(call, readSchema);
        return { status: 200, body: { rows: await core.read(keys, call.client) } };
      },
      'POST /table/scan': async (call) => {
        const scan = await readJson(call, scanSchema);
        return { status: 200, body: { rows: await core.scan(scan, call.client) } };
      },
      'POST /control': async (call) => {
        const control = await readJson(call, tableControlSchema);
        applyCommonControl(control, core.gate, server, call);
        if (control.rates) {
          core.setRates(control.rates.writesPerSecond, control.rates.readsPerSecond);
        }
        return { status: 200, body: {} };
      },
      'GET /truth': async (call) => {
        const rows = call.query.has('prefix') ? core.peek(call.query.get('prefix') ?? '') : [];
        return { status: 200, body: { ...core.getTruth(), rows } };
      },
    },
    options,
  );
  return server;
};

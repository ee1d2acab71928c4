/** The operator API on a loopback port, over fakes of everything behind it. */
import { createHash } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createSilentLogger } from '@snipehaven/common';
import type { BillingRow } from '@snipehaven/ledger';
import type { Member, UsageEntry } from '@snipehaven/protocol';
import type { TimelineEvent } from '@snipehaven/timeline';
import { createOperatorHandler } from '../operatorHandler.js';
import type { OperatorDependencies, OperatorToken, RolloutStatus } from '../types.js';
import { FakeConfigurationStore } from './fakeConfigurationStore.js';
import { FakeSafeMoves } from './fakeSafeMoves.js';

export const WRITE_TOKEN = 'write-secret';
export const READ_TOKEN = 'read-secret';

const toToken = (name: string, token: string, role: OperatorToken['role']): OperatorToken => ({
  name,
  sha256: createHash('sha256').update(token).digest('hex'),
  role,
});

const createMember = (vm: string): Member => ({
  vm,
  dataCentre: 'dc-a',
  address: '127.0.0.1:9000',
  incarnation: `${vm}#1`,
  refutation: 0,
  state: 'alive',
});

/** What a test may change and look at. */
export interface FakeState {
  readonly configuration: FakeConfigurationStore;
  readonly safeMoves: FakeSafeMoves;
  readonly drainedVms: string[];
  readonly stop: AbortController;
  events: readonly TimelineEvent[];
  billing: readonly BillingRow[];
  entries: readonly UsageEntry[];
  rollouts: readonly RolloutStatus[];
  isReady: boolean;
}

/** A running API. */
export interface FakeOperatorApi {
  readonly url: string;
  readonly state: FakeState;
  close(): Promise<void>;
}

const createState = (): FakeState => {
  const safeMoves = new FakeSafeMoves();
  return {
    configuration: new FakeConfigurationStore(safeMoves),
    safeMoves,
    drainedVms: [],
    stop: new AbortController(),
    events: [],
    billing: [],
    entries: [],
    rollouts: [],
    isReady: true,
  };
};

const createDependencies = (state: FakeState): OperatorDependencies => {
  const self = createMember('entry-1');
  return {
    configuration: state.configuration,
    safeMoves: state.safeMoves,
    membership: { self, listMembers: () => [self, createMember('entry-2')] },
    ledger: {
      listBilling: async () => state.billing,
      listEntries: async () => state.entries,
    },
    tokens: [toToken('alice', WRITE_TOKEN, 'write'), toToken('bob', READ_TOKEN, 'read')],
    logger: createSilentLogger(),
    stopSignal: state.stop.signal,
    collectTimeline: async () => ({ events: state.events, unreachable: ['entry-9'] }),
    getRequest: async () => undefined,
    collectLatency: async () => [],
    listRolloutStatus: async () => state.rollouts,
    getMetricsText: async () => 'up 1\n',
    getHealth: () => ({ isOk: true, reasons: [] }),
    getReadiness: () => ({ isOk: state.isReady, reasons: state.isReady ? [] : ['stopping'] }),
    drain: async (vm) => {
      state.drainedVms.push(vm);
    },
  };
};

const listen = (server: Server): Promise<string> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve(`http://127.0.0.1:${port}`);
    });
  });

const close = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.closeAllConnections();
    server.close(() => resolve());
  });

/** Starts the API; paths that are not its own answer 418. */
export const startFakeOperatorApi = async (): Promise<FakeOperatorApi> => {
  const state = createState();
  const handle = createOperatorHandler(createDependencies(state));
  const server = createServer((request, response) => {
    void handle(request, response).then((isOwn) => {
      if (!isOwn) {
        response.writeHead(418).end();
      }
    });
  });
  const url = await listen(server);
  return { url, state, close: () => close(server) };
};

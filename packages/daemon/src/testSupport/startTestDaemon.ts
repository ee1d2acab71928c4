/** One daemon with all its listeners before stand-ins, in this process, for tests over loopback. */
import { createHash, randomUUID } from 'node:crypto';
import { createLogger, invariant, setInvariantsFatal, sleep } from '@snipehaven/common';
import { restoreSpec, type Kind } from '@snipehaven/resources';
import { startStandins, type EngineOptions, type Standins } from '@snipehaven/standins';
import * as assert from 'uvu/assert';
import { Daemon } from '../daemon.js';
import type { DaemonCore } from '../daemonCore.js';
import { restoreSettings } from '../settings/index.js';

/** Made up for the tests; none of them may show in a log. */
export const testSecrets = {
  SNIPEHAVEN_PEER_SECRET: 'test-peer-secret-0123456789',
  SNIPEHAVEN_SESSION_KEY: 'test-session-key-0123456789',
  operatorToken: 'test-operator-token-0123456789',
} as const;

/** Keys of the callers; `narrow` may run one request at a time, so that a lost place shows at once. */
export const testKeys = {
  narrow: 'narrow-key',
  narrowNext: 'narrow-next-key',
  wide: 'wide-key',
} as const;

export const MAX_BODY_BYTES = 65_536;
export const BODY_TIMEOUT_MS = 500;
export const READ_TIMEOUT_MS = 1_000;

/** Above the time after which the ledger brings records to the table. */
const WAIT_MS = 20_000;
const POLL_MS = 20;

export interface TestDaemonOptions {
  readonly engine?: Partial<EngineOptions>;
  /** TOML tables that replace those of the same name. */
  readonly tables?: Readonly<Record<string, string>>;
}

export interface TestDaemon {
  readonly daemon: Daemon;
  readonly core: DaemonCore;
  readonly standins: Standins;
  /** `ip:port` of the callers' listener. */
  readonly callers: string;
  /** All log lines so far. */
  getLog(): string;
  apply(kind: Kind, name: string, spec: object): Promise<void>;
  stop(): Promise<void>;
}

export const hashSecret = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');

/** Polls until the condition holds; fails with the description after a while. */
export const waitUntil = async (
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> => {
  const giveUpAtMs = Date.now() + WAIT_MS;
  while (!(await condition())) {
    if (Date.now() > giveUpAtMs) {
      assert.unreachable(`not after ${WAIT_MS} ms: ${description}`);
    }
    await sleep(POLL_MS);
  }
};

/** Settings that are whole; tests replace single tables. */
export const getTestTables = (standins: Standins): Readonly<Record<string, string>> => {
  const { platform } = standins;
  invariant(platform, 'internal', 'the stand-ins have no platform');
  const listen = 'address = "127.0.0.1"\nport = 0';
  return {
    vm: 'name = "entry-1"\ndataCentre = "dc-1"',
    'listen.callers': listen,
    'listen.operators': listen,
    'listen.peers': listen,
    platform: `tableUrl = "${platform.table.url}"
objectStoreUrl = "${platform.objectStore.url}"
vmListUrl = "${platform.vmList.url}"
raterUrl = "${platform.rater.url}"
weightStoreUrl = "${platform.weightStore.url}"`,
    peers: 'secret = { env = "SNIPEHAVEN_PEER_SECRET" }',
    sessions: 'key = { env = "SNIPEHAVEN_SESSION_KEY" }',
    operators: `tokens = [{ name = "op", sha256 = "${hashSecret(testSecrets.operatorToken)}", role = "write" }]`,
    requests: `maxBodyBytes = ${MAX_BODY_BYTES}
bodyTimeoutMs = ${BODY_TIMEOUT_MS}
readTimeoutMs = ${READ_TIMEOUT_MS}`,
    upstreams: 'loadIntervalMs = 100\nvmListIntervalMs = 100',
    shutdown: 'balancerDelayMs = 0\ndeadlineMs = 5000',
  };
};

export const toToml = (tables: Readonly<Record<string, string>>): string =>
  Object.entries(tables)
    .map(([name, text]) => `[${name}]\n${text}\n`)
    .join('\n');

const createSpecs = (standins: Standins): readonly (readonly [Kind, string, object])[] => {
  const prices = { inputMicroUsdPerMillionTokens: 1e6, outputMicroUsdPerMillionTokens: 1e6 };
  const base = { qualityTarget: 0.5, allowsExploration: false, allowsCascade: false };
  const services = { allowedServices: ['desk'] };
  const toKeys = (...keys: readonly string[]): object[] =>
    keys.map((key) => ({ name: key, sha256: hashSecret(key) }));
  return [
    ['Model', 'small', {}],
    ['ModelVersion', 'small@1', { ...prices, priorQuality: 0.9, priorWeight: 100 }],
    ['ModelVersion', 'large@1', { ...prices, priorQuality: 0.9, priorWeight: 100 }],
    [
      'Service',
      'desk',
      {
        operations: [
          { method: 'GET', pathPrefix: '/status', isIdempotent: true },
          { method: 'POST', pathPrefix: '/filings', isIdempotent: false },
        ],
      },
    ],
    ['Service', 'vault', { operations: [] }],
    ...standins.engines.map(({ name, url }) => {
      const spec = { dataCentre: 'dc-1', type: 'engine', url, versions: ['small@1', 'large@1'] };
      return ['Upstream', name, spec] as const;
    }),
    ...standins.services.map(({ name, url }) => {
      const spec = { dataCentre: 'dc-1', type: 'service', url, service: 'desk' };
      return ['Upstream', name, spec] as const;
    }),
    [
      'Team',
      'narrow',
      {
        ...base,
        ...services,
        keys: toKeys(testKeys.narrow, testKeys.narrowNext),
        allowedVersions: ['small@1'],
        limits: { concurrency: 1 },
      },
    ],
    [
      'Team',
      'wide',
      { ...base, ...services, keys: toKeys(testKeys.wide), allowedVersions: ['small@*'] },
    ],
  ];
};

/** Starts stand-ins and a daemon with two teams, two versions and a service; resolves when it serves. */
export const startTestDaemon = async (options: TestDaemonOptions = {}): Promise<TestDaemon> => {
  setInvariantsFatal(true);
  const versions = ['small@1', 'large@1'];
  const standins = await startStandins({
    engines: [{ name: 'engine-1', versions, tokenMs: 2, tokenMsPerRunning: 0, ...options.engine }],
    services: [{ name: 'desk-1', workMs: 1, onceOnlyPaths: ['/filings'] }],
  });
  const lines: string[] = [];
  const logger = createLogger('trace', { vm: 'entry-1' }, { write: (line) => lines.push(line) });
  const text = toToml({ ...getTestTables(standins), ...options.tables });
  const daemon = new Daemon(restoreSettings('test.toml', text), logger, { ...testSecrets });
  const addresses = await daemon.start();
  const { core } = daemon;
  invariant(core, 'internal', 'a started daemon has a core');
  const apply = async (kind: Kind, name: string, spec: object): Promise<void> => {
    const manifest = { kind, name, spec: restoreSpec(kind, name, spec) };
    await core.configuration.apply(manifest, { clientRequestId: randomUUID() });
  };
  await waitUntil('a configuration', () => core.configuration.getStatus().hasConfiguration);
  for (const [kind, name, spec] of createSpecs(standins)) {
    await apply(kind, name, spec);
  }
  await waitUntil('the teams are known', () => core.router.findCaller(testKeys.wide) !== undefined);
  return {
    daemon,
    core,
    standins,
    callers: addresses.callers,
    getLog: () => lines.join(''),
    apply,
    stop: async () => {
      await daemon.stop();
      await standins.stop();
    },
  };
};

/** Asserts that nothing of any request is left: no place, no queue entry, no run at an upstream. */
export const expectNoLeaks = async ({ core, standins }: TestDaemon): Promise<void> => {
  const getLeft = (): object => ({
    active: core.router.active,
    running: core.gate.running,
    queued: core.gate.queued,
    inFlight: core.registry.list().reduce((sum, entry) => sum + entry.inFlight, 0),
    atEngines: standins.engines.reduce((sum, engine) => {
      const { running, queued } = engine.core.getTruth(false);
      return sum + running + queued;
    }, 0),
  });
  const isEmpty = (): boolean => Object.values(getLeft()).every((count) => count === 0);
  await waitUntil('nothing is left', isEmpty).catch(() => undefined);
  assert.equal(getLeft(), { active: 0, running: 0, queued: 0, inFlight: 0, atEngines: 0 });
};

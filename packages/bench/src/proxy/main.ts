/**
 * `npm run bench:proxy -- [--json] [--rounds N] [--profile FOLDER]`: one daemon against a bare
 * pass-through, both before
 * the same stand-in engines, alternating in one run. Last line: JSON with the ratios.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import {
  Deployment,
  hashSecret,
  ManagedProcess,
  putResource,
  type RunningDaemon,
} from '@snipehaven/demo';
import { runLoad, type LoadOptions, type LoadResult } from './load.js';
import { UNLIMITED } from '../unlimitedTeam.js';

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    rounds: { type: 'string', default: '3' },
    profile: { type: 'string' },
    'duration-ms': { type: 'string', default: '3000' },
  },
});

const ENGINES = 3;
const KEY = 'bench-key';
const SHORT_TOKENS = 4;
const LONG_TOKENS = 200;
const SHORT_CONCURRENCY = 32;
const LONG_CONCURRENCY = 16;
const HALF_LOAD_CONCURRENCY = 16;
const PASS_THROUGH_PORT = 9_090;

const durationMs = Number(values['duration-ms']);
const say = (line: string): void => {
  if (!values.json) {
    console.log(line);
  }
};

const folder = mkdtempSync(join(tmpdir(), 'snipehaven-bench-'));
const deployment = new Deployment({
  folder,
  dataCentres: ['bench-1'],
  daemonsPerDataCentre: 1,
  logLevel: 'warn',
  daemonNodeArgs: values.profile ? ['--cpu-prof', `--cpu-prof-dir=${values.profile}`] : [],
  standins: {
    engines: Array.from({ length: ENGINES }, (_, index) => ({
      name: `engine-${index + 1}`,
      versions: ['scribe@1'],
      tokenMs: 0,
      prefillMsPerToken: 0,
      maxRunning: 512,
      maxQueued: 512,
      recordsStreams: false,
    })),
  },
});

const configure = async (daemon: RunningDaemon): Promise<void> => {
  await putResource(daemon.operatorsUrl, 'Model', 'scribe', {});
  await putResource(daemon.operatorsUrl, 'ModelVersion', 'scribe@1', {
    inputMicroUsdPerMillionTokens: 100,
    outputMicroUsdPerMillionTokens: 400,
    priorQuality: 0.9,
    priorWeight: 100,
  });
  for (const { name, url } of deployment.addresses.engines) {
    await putResource(daemon.operatorsUrl, 'Upstream', name, {
      dataCentre: 'bench-1',
      type: 'engine',
      url,
      versions: ['scribe@1'],
      maxConcurrency: 512,
    });
  }
  await putResource(daemon.operatorsUrl, 'Team', 'bench', {
    keys: [{ name: 'k', sha256: hashSecret(KEY) }],
    allowedVersions: ['scribe@*'],
    qualityTarget: 0.5,
    limits: UNLIMITED,
  });
};

type Target = 'passThrough' | 'daemon';

const median = (numbers: readonly number[]): number =>
  [...numbers].sort((a, b) => a - b)[Math.floor(numbers.length / 2)] ?? 0;

const measure = async (
  urls: Readonly<Record<Target, string>>,
  options: Omit<LoadOptions, 'url' | 'key' | 'durationMs'>,
): Promise<Record<Target, readonly LoadResult[]>> => {
  const results: Record<Target, LoadResult[]> = { passThrough: [], daemon: [] };
  for (let round = 0; round < Number(values.rounds); round += 1) {
    for (const target of ['passThrough', 'daemon'] as const) {
      const load = { ...options, url: urls[target], key: KEY, durationMs };
      results[target].push(await runLoad(load));
    }
  }
  return results;
};

const medianOf = (results: readonly LoadResult[], field: keyof LoadResult): number =>
  median(results.map((result) => result[field]));

const describe = (name: string, results: Record<Target, readonly LoadResult[]>): void => {
  (['passThrough', 'daemon'] as const).forEach((target) => {
    const of = (field: keyof LoadResult): string => medianOf(results[target], field).toFixed(2);
    const failures = results[target].reduce((sum, result) => sum + result.failures, 0);
    say(
      `${name} ${target}: ${of('requestsPerSecond')} requests/s, ${of('chunksPerSecond')} chunks/s, ` +
        `p50 ${of('p50Ms')} ms, p99 ${of('p99Ms')} ms, ${failures} failures`,
    );
  });
};

const runBench = async (passThroughUrl: string): Promise<void> => {
  const daemon = deployment.daemons[0] as RunningDaemon;
  const urls = { passThrough: passThroughUrl, daemon: daemon.callersUrl };
  const warmUp = { concurrency: 16, maxTokens: 20, pauseMs: 0, durationMs: 1_500, key: KEY };
  await runLoad({ ...warmUp, url: urls.passThrough });
  await runLoad({ ...warmUp, url: urls.daemon });
  const short = await measure(urls, {
    concurrency: SHORT_CONCURRENCY,
    maxTokens: SHORT_TOKENS,
    pauseMs: 0,
  });
  describe('short answers', short);
  const long = await measure(urls, {
    concurrency: LONG_CONCURRENCY,
    maxTokens: LONG_TOKENS,
    pauseMs: 0,
  });
  describe('long answers', long);
  const halfRate = medianOf(short.daemon, 'requestsPerSecond') / 2;
  const half = await measure(urls, {
    concurrency: HALF_LOAD_CONCURRENCY,
    maxTokens: SHORT_TOKENS,
    pauseMs: (HALF_LOAD_CONCURRENCY * 1_000) / halfRate,
  });
  describe('half load', half);
  const added = (field: 'p50Ms' | 'p99Ms'): number =>
    Number((medianOf(half.daemon, field) - medianOf(half.passThrough, field)).toFixed(3));
  const ratio = (
    results: Record<Target, readonly LoadResult[]>,
    field: 'requestsPerSecond' | 'chunksPerSecond',
  ): number =>
    Number((medianOf(results.daemon, field) / medianOf(results.passThrough, field)).toFixed(3));
  console.log(
    JSON.stringify({
      rateRatio: ratio(short, 'requestsPerSecond'),
      chunkRatio: ratio(long, 'chunksPerSecond'),
      addedP50Ms: added('p50Ms'),
      addedP99Ms: added('p99Ms'),
    }),
  );
};

let passThrough: ManagedProcess | undefined;
try {
  await deployment.start();
  const daemon = deployment.daemons[0] as RunningDaemon;
  await configure(daemon);
  await deployment.waitUntilAllReady();
  const address = `${deployment.network}.249.1`;
  passThrough = new ManagedProcess({
    name: 'passThrough',
    script: join(dirname(fileURLToPath(import.meta.url)), 'passThrough.js'),
    args: [
      address,
      String(PASS_THROUGH_PORT),
      ...deployment.addresses.engines.map(({ url }) => url),
    ],
    logFile: join(folder, 'passThrough.log'),
  });
  await passThrough.firstLine;
  await runBench(`http://${address}:${PASS_THROUGH_PORT}`);
} finally {
  await passThrough?.stop(1_000);
  await deployment.stop();
}

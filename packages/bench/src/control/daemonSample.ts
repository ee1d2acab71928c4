/** Reads what daemons say of themselves at one moment, and the use between two moments. */
import { demoSecrets, type RunningDaemon } from '@snipehaven/demo';
import { request } from 'undici';
import { BYTES_PER_MB, MS_PER_SECOND } from './constants.js';
import { useFields, type DaemonUse, type UseField } from './types.js';

/** Gauges of one daemon by name, and when they were read. */
interface DaemonSample {
  readonly atMs: number;
  readonly gauges: ReadonlyMap<string, number>;
}

const GAUGE_LINE = /^(snipehaven_\w+) (\S+)$/;
const PERCENT = 100;

const parseGauges = (text: string): ReadonlyMap<string, number> =>
  new Map(
    text
      .split('\n')
      .map((line) => GAUGE_LINE.exec(line))
      .filter((match) => match !== null)
      .map(([, name, value]) => [name as string, Number(value)]),
  );

const sampleDaemon = async ({ operatorsUrl }: RunningDaemon): Promise<DaemonSample> => {
  const answer = await request(`${operatorsUrl}/metrics`, {
    headers: { authorization: `Bearer ${demoSecrets.operatorToken}` },
  });
  const text = await answer.body.text();
  return { atMs: performance.now(), gauges: parseGauges(text) };
};

export const sampleDaemons = (
  daemons: readonly RunningDaemon[],
): Promise<readonly DaemonSample[]> => Promise.all(daemons.map(sampleDaemon));

const readGauge = ({ gauges }: DaemonSample, name: string): number => {
  const value = gauges.get(`snipehaven_${name}`);
  if (value === undefined) {
    throw new Error(`the daemon has no gauge snipehaven_${name}`);
  }
  return value;
};

/** What a daemon took between two samples. */
const getUse = (before: DaemonSample, after: DaemonSample): DaemonUse => {
  const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  const getRate = (name: string): number =>
    (readGauge(after, name) - readGauge(before, name)) / seconds;
  return {
    cpuPct: getRate('process_cpu_seconds_total') * PERCENT,
    residentMb: readGauge(after, 'process_resident_bytes') / BYTES_PER_MB,
    heapMb: readGauge(after, 'process_heap_bytes') / BYTES_PER_MB,
    peerBytesPerSecond: getRate('traffic_peers_bytes_total'),
    platformBytesPerSecond: getRate('traffic_platform_bytes_total'),
    upstreamBytesPerSecond: getRate('traffic_upstreams_bytes_total'),
  };
};

const summarise = (
  uses: readonly DaemonUse[],
  combine: (numbers: readonly number[]) => number,
): DaemonUse =>
  Object.fromEntries(
    useFields.map((field: UseField) => [field, combine(uses.map((use) => use[field]))]),
  ) as unknown as DaemonUse;

/** Mean and highest use over all daemons. */
export const compareSamples = (
  before: readonly DaemonSample[],
  after: readonly DaemonSample[],
): { readonly mean: DaemonUse; readonly max: DaemonUse } => {
  const uses = before.map((sample, index) => getUse(sample, after[index] as DaemonSample));
  return {
    mean: summarise(uses, (numbers) => numbers.reduce((sum, n) => sum + n, 0) / numbers.length),
    max: summarise(uses, (numbers) => Math.max(...numbers)),
  };
};

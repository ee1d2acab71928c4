/** Gathers the data of a report: bills, latency and roll-outs of one period. */
import type { UsageEntry } from '@snipehaven/protocol';
import { REPORT_BUCKETS } from './constants.js';
import type { OperatorDependencies, ReportReply, ReportSeries } from './types.js';

/** Which entries a report is about. */
export interface ReportPeriod {
  readonly team?: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** One count on its way into a series. */
interface Sample {
  readonly name: string;
  readonly bucket: number;
  readonly costMicroUsd: number;
}

const getBucketMs = ({ fromMs, untilMs }: ReportPeriod): number =>
  Math.max(1, Math.ceil((untilMs - fromMs) / REPORT_BUCKETS));

const getBucket = (entry: UsageEntry, period: ReportPeriod): number => {
  const bucket = Math.floor((entry.settledAtMs - period.fromMs) / getBucketMs(period));
  return Math.min(REPORT_BUCKETS - 1, Math.max(0, bucket));
};

const toTeamSample = (entry: UsageEntry, period: ReportPeriod): Sample => ({
  name: entry.team,
  bucket: getBucket(entry, period),
  costMicroUsd: entry.costMicroUsd,
});

const toVersionSamples = (entry: UsageEntry, period: ReportPeriod): readonly Sample[] =>
  entry.lines.map((line) => ({
    name: line.version,
    bucket: getBucket(entry, period),
    costMicroUsd: line.costMicroUsd,
  }));

const createSeries = (name: string) => ({
  name,
  requests: new Array<number>(REPORT_BUCKETS).fill(0),
  costMicroUsd: new Array<number>(REPORT_BUCKETS).fill(0),
});

/** Sums samples into one series a name, ordered by name. */
const sumSamples = (samples: readonly Sample[]): readonly ReportSeries[] => {
  const series = new Map<string, ReturnType<typeof createSeries>>();
  samples.forEach(({ name, bucket, costMicroUsd }) => {
    const found = series.get(name) ?? createSeries(name);
    found.requests[bucket] = (found.requests[bucket] ?? 0) + 1;
    found.costMicroUsd[bucket] = (found.costMicroUsd[bucket] ?? 0) + costMicroUsd;
    series.set(name, found);
  });
  return [...series.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
};

const listBlockedVersions = ({ safeMoves, configuration }: OperatorDependencies) =>
  configuration
    .getView()
    .list('ModelVersion')
    .map((resource) => resource.metadata.name)
    .filter((version) => safeMoves.isVersionBlocked(version));

/** The report of a period. Reads all its ledger entries: meant for hours, not months. */
export const buildReport = async (
  dependencies: OperatorDependencies,
  period: ReportPeriod,
): Promise<ReportReply> => {
  const { ledger } = dependencies;
  const [billing, entries, latency, rollouts] = await Promise.all([
    ledger.listBilling(period),
    ledger.listEntries(period),
    dependencies.collectLatency(),
    dependencies.listRolloutStatus(),
  ]);
  return {
    generatedAtMs: Date.now(),
    fromMs: period.fromMs,
    untilMs: period.untilMs,
    bucketMs: getBucketMs(period),
    billing,
    teams: sumSamples(entries.map((entry) => toTeamSample(entry, period))),
    versions: sumSamples(entries.flatMap((entry) => toVersionSamples(entry, period))),
    latency: latency.filter((row) => period.team === undefined || row.team === period.team),
    rollouts,
    blockedVersions: listBlockedVersions(dependencies),
  };
};

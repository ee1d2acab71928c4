/** Tables for people: the mean over the seeds, with the least and the greatest. */
import type { BenchRow } from './types.js';

const FIGURES = [
  'costPerAnswerAtTarget',
  'teamsAtTargetPct',
  'p50Ms',
  'p95Ms',
  'exposed',
  'falseAlarmPct',
  'goodputPct',
  'fairness',
  'minutesToFull',
  'shadowAnswers',
] as const;

type Figure = (typeof FIGURES)[number];

/** Mean and spread of one figure over the seeds. */
export interface FigureSpread {
  readonly mean: number;
  readonly min: number;
  readonly max: number;
}

const getSpread = (values: readonly number[]): FigureSpread => ({
  mean: values.reduce((sum, value) => sum + value, 0) / values.length,
  min: Math.min(...values),
  max: Math.max(...values),
});

const listValues = (rows: readonly BenchRow[], figure: Figure): readonly number[] =>
  rows.flatMap((row) => row[figure] ?? []);

const formatNumber = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2);

const formatSpread = (values: readonly number[]): string => {
  if (values.length === 0) {
    return '-';
  }
  const { mean, min, max } = getSpread(values);
  const range = min === max ? '' : ` [${formatNumber(min)}..${formatNumber(max)}]`;
  return `${formatNumber(mean)}${range}`;
};

/** Groups rows by scenario and policy, in order of appearance. */
export const groupRows = (rows: readonly BenchRow[]): readonly (readonly BenchRow[])[] => {
  const groups = new Map<string, BenchRow[]>();
  rows.forEach((row) => {
    const key = `${row.scenario} ${row.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), row]);
  });
  return [...groups.values()];
};

/** Prints one line for each scenario and policy with the figures that have a meaning there. */
export const formatSummary = (rows: readonly BenchRow[]): string =>
  groupRows(rows)
    .map((group) => {
      const name = `${group[0]?.scenario ?? ''} | ${group[0]?.policy ?? ''}`;
      const figures = FIGURES.flatMap((figure) => {
        const values = listValues(group, figure);
        return values.length === 0 ? [] : `${figure} ${formatSpread(values)}`;
      });
      return `${name.padEnd(48)} ${figures.join(', ')}`;
    })
    .join('\n');

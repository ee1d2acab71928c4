/** The account as text, and as a page with each upstream's load over time. */
import { buildPage, escapeHtml } from '@snipehaven/timeline';
import { formatTable } from '../output/formatTable.js';
import { drawLinePlot } from '../report/linePlot.js';
import type { Account, RouteAccount, TroubledRequest } from './types.js';

const ROUTE_HEADINGS = [
  'ROUTE',
  'REQUESTS',
  'LATE',
  'REFUSED',
  'CALLER GONE',
  'HERE',
  'FIRST RUN',
  'SECOND RUN',
  'FAILED RUNS',
  'PAUSES',
] as const;

const REQUEST_HEADINGS = ['REQUEST', 'ROUTE', 'TROUBLE', 'MS', 'MOST IN', 'DECISION'] as const;

const toRouteRow = ({ route, requests, troubled, delays }: RouteAccount): readonly unknown[] => [
  route,
  requests,
  troubled.late,
  troubled.refused,
  troubled.callerGone,
  delays.here,
  delays.firstRun,
  delays.secondRun,
  delays.failedRuns,
  delays.pauses,
];

const toRequestRow = (one: TroubledRequest): readonly unknown[] => [
  one.request,
  one.route,
  one.trouble,
  one.tookMs,
  one.delay,
  one.decision,
];

/** `most`: troubled requests listed, those that took longest first. */
export const formatAccount = (account: Account, most: number): string => {
  const worst = [...account.troubled].sort((a, b) => b.tookMs - a.tookMs).slice(0, most);
  const left = account.troubled.length - worst.length;
  return [
    formatTable(ROUTE_HEADINGS, account.routes.map(toRouteRow), 'no requests in these lines'),
    worst.length === 0 ? '' : `\n${formatTable(REQUEST_HEADINGS, worst.map(toRequestRow))}`,
    left > 0 ? `${left} more\n` : '',
  ].join('');
};

const MAX_LINES = 8;

/** The busiest upstreams of the period. */
export const buildAccountPage = (account: Account, most: number): string => {
  const busiest = [...account.loads].sort((a, b) => b.runs - a.runs).slice(0, MAX_LINES);
  const plot = drawLinePlot({
    title: `Requests at the ${busiest.length} busiest upstreams`,
    fromMs: account.fromMs,
    bucketMs: account.bucketMs,
    series: busiest.map(({ upstream, runs, values }) => ({
      name: `${upstream} (${runs})`,
      values,
    })),
    formatValue: String,
  });
  const text = `<pre>${escapeHtml(formatAccount(account, most))}</pre>`;
  return buildPage({ title: 'Where the time went', style: '', body: `${plot}${text}` });
};

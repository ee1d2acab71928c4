/** Cost, latency and exposure of a period as one self-contained HTML page. */
import { buildPage, escapeHtml } from '@snipehaven/timeline';
import type { LatencyRow, ReportReply, ReportSeries, RolloutStatus } from '../api/schemas.js';
import { formatRating, formatTime, formatUsd } from '../output/units.js';
import { drawBarPlot, type Bar } from './barPlot.js';
import { drawLinePlot, type PlotSeries } from './linePlot.js';

const STYLE = `
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(480px, 1fr)); gap: 8px 32px; }
figure { margin: 8px 0; max-width: 690px; } h3 { font-size: 14px; margin: 0 0 4px; } figcaption { color: var(--dim); }
.key { display: inline-flex; align-items: center; gap: 5px; margin-right: 16px; }
.key::before { content: ""; width: 14px; height: 3px; background: var(--dot); }
.cards { display: flex; flex-wrap: wrap; gap: 12px; margin: 12px 0; }
.card { background: var(--band); padding: 8px 16px; border-radius: 6px; }
.card strong { display: block; font-size: 18px; }
.bad { color: #d0342c; }
`;

/** An amount of money. */
interface Money {
  readonly costMicroUsd: number;
}

/** A cell; numbers and money stand to the right. */
type Cell = string | number | Money;

const isRightAligned = (cell: Cell | undefined): boolean =>
  cell !== undefined && typeof cell !== 'string';

const formatCell = (cell: Cell): string =>
  typeof cell === 'object' ? formatUsd(cell.costMicroUsd) : cell.toLocaleString('en');

const toCell = (cell: Cell): string => {
  const attribute = isRightAligned(cell) ? ' class="number"' : '';
  return `<td${attribute}>${escapeHtml(formatCell(cell))}</td>`;
};

const buildTable = (headings: readonly string[], rows: readonly (readonly Cell[])[]): string => {
  if (rows.length === 0) {
    return '<p>none in this period</p>';
  }
  const isNumber = (column: number): boolean => isRightAligned(rows[0]?.[column]);
  const head = headings
    .map((text, column) => `<th${isNumber(column) ? ' class="number"' : ''}>${text}</th>`)
    .join('');
  const body = rows.map((row) => `<tr>${row.map(toCell).join('')}</tr>`).join('');
  return `<table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table>`;
};

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

const buildCard = (value: string, label: string): string =>
  `<div class="card"><strong>${escapeHtml(value)}</strong>${escapeHtml(label)}</div>`;

const buildCards = (report: ReportReply): string => {
  const cost = sum(report.billing.map((row) => row.costMicroUsd));
  const requests = sum(report.billing.map((row) => row.requests));
  const exposed = sum(report.rollouts.map((rollout) => rollout.exposedCount));
  const cards = [
    buildCard(formatUsd(cost), 'cost'),
    buildCard(requests.toLocaleString('en'), 'billed runs by version'),
    buildCard(exposed.toLocaleString('en'), 'answers by candidates'),
    buildCard(String(report.blockedVersions.length), 'versions withdrawn or quarantined'),
  ];
  return `<div class="cards">${cards.join('')}</div>`;
};

const toCostSeries = ({ name, costMicroUsd }: ReportSeries): PlotSeries => ({
  name,
  values: costMicroUsd,
});

const toRequestSeries = ({ name, requests }: ReportSeries): PlotSeries => ({
  name,
  values: requests,
});

const formatCount = (value: number): string => String(Number(value.toPrecision(3)));

const buildCost = (report: ReportReply): string => {
  const { fromMs, bucketMs } = report;
  const base = { fromMs, bucketMs, formatValue: formatUsd };
  const plots = [
    drawLinePlot({ ...base, title: 'Cost by team', series: report.teams.map(toCostSeries) }),
    drawLinePlot({ ...base, title: 'Cost by version', series: report.versions.map(toCostSeries) }),
  ];
  const rows = report.billing.map((row) => [
    row.team,
    row.version,
    row.requests,
    row.promptTokens,
    row.completionTokens,
    { costMicroUsd: row.costMicroUsd },
  ]);
  const headings = ['Team', 'Version', 'Requests', 'Prompt tokens', 'Answer tokens', 'Cost'];
  return `<h2>Cost</h2><div class="plots">${plots.join('')}</div>${buildTable(headings, rows)}`;
};

const getLabel = ({ team, version }: LatencyRow): string => `${team} · ${version}`;

const toFirstTokenBar = (row: LatencyRow): Bar => ({
  label: getLabel(row),
  p50: row.firstTokenP50Ms,
  p95: row.firstTokenP95Ms,
});

const toTotalBar = (row: LatencyRow): Bar => ({
  label: getLabel(row),
  p50: row.totalP50Ms,
  p95: row.totalP95Ms,
});

const buildLatency = ({ latency }: ReportReply): string => {
  if (latency.length === 0) {
    return '<h2>Latency</h2><p>no answers measured</p>';
  }
  const plots = [
    drawBarPlot('Time to the first token', latency.map(toFirstTokenBar)),
    drawBarPlot('Time to the whole answer', latency.map(toTotalBar)),
  ];
  return `<h2>Latency</h2><p>Since the daemons that were asked started.</p><div class="plots">${plots.join('')}</div>`;
};

const toRolloutRow = (rollout: RolloutStatus): readonly Cell[] => [
  rollout.name,
  `${rollout.stableVersion} → ${rollout.candidateVersion}`,
  rollout.phase,
  `${rollout.stage + 1}/${rollout.stageCount} at ${rollout.sharePct}%`,
  rollout.exposedCount,
  `${rollout.unjudgedCount}/${rollout.exposureBudget}`,
  `${formatRating(rollout.candidateRating)} vs ${formatRating(rollout.stableRating)}`,
  rollout.reason,
];

const buildBlocked = (versions: readonly string[]): string =>
  versions.length === 0
    ? '<p>No version is withdrawn or quarantined.</p>'
    : `<p class="bad">Withdrawn or quarantined: ${escapeHtml(versions.join(', '))}</p>`;

const buildExposure = (report: ReportReply): string => {
  const { fromMs, bucketMs } = report;
  const plot = drawLinePlot({
    title: 'Runs by version',
    fromMs,
    bucketMs,
    formatValue: formatCount,
    series: report.versions.map(toRequestSeries),
  });
  const headings = [
    'Roll-out',
    'Versions',
    'Phase',
    'Stage',
    'Exposed',
    'Unjudged / budget',
    'Rating',
    'Reason',
  ];
  const table = buildTable(headings, report.rollouts.map(toRolloutRow));
  return `<h2>Exposure</h2>${buildBlocked(report.blockedVersions)}<div class="plots">${plot}</div>${table}`;
};

/** The page. */
export const buildReportPage = (report: ReportReply): string =>
  buildPage({
    title: 'Cost, latency and exposure',
    style: STYLE,
    body: [
      '<h1>Cost, latency and exposure</h1>',
      `<p>${formatTime(report.fromMs)} to ${formatTime(report.untilMs)}, made ${formatTime(report.generatedAtMs)}</p>`,
      buildCards(report),
      buildCost(report),
      buildLatency(report),
      buildExposure(report),
    ].join('\n'),
  });

/** A line plot over time as inline SVG. */
import { escapeHtml } from '@snipehaven/timeline';
import { getColour } from './palette.js';
import { listTicks } from './scales.js';

/** One line. */
export interface PlotSeries {
  readonly name: string;
  readonly values: readonly number[];
}

/** What a plot shows. */
export interface LinePlot {
  readonly title: string;
  readonly fromMs: number;
  readonly bucketMs: number;
  readonly series: readonly PlotSeries[];
  readonly formatValue: (value: number) => string;
}

const WIDTH = 660;
const HEIGHT = 250;
const LEFT = 64;
const RIGHT = 12;
const TOP = 12;
const BOTTOM = 28;
const LABEL_GAP = 8;
const TIME_TICKS = 6;

/** Maps indices and values to points of the picture. */
interface Frame {
  readonly toX: (index: number) => number;
  readonly toY: (value: number) => number;
}

const createFrame = (count: number, limit: number): Frame => ({
  toX: (index) => LEFT + (index / Math.max(1, count - 1)) * (WIDTH - LEFT - RIGHT),
  toY: (value) => HEIGHT - BOTTOM - (value / limit) * (HEIGHT - TOP - BOTTOM),
});

const round = (value: number): string => value.toFixed(1);

const drawValueTick = (value: number, plot: LinePlot, { toY }: Frame): string => {
  const y = round(toY(value));
  const label = escapeHtml(plot.formatValue(value));
  return (
    `<line class="rule" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>` +
    `<text class="dim" x="${LEFT - LABEL_GAP}" y="${y}" dy="4" text-anchor="end">${label}</text>`
  );
};

const formatClock = (timeMs: number): string => new Date(timeMs).toISOString().slice(11, 16);

const drawTimeTicks = (count: number, plot: LinePlot, { toX }: Frame): string =>
  Array.from({ length: TIME_TICKS }, (_unused, tick) => {
    const index = Math.round((tick / (TIME_TICKS - 1)) * Math.max(0, count - 1));
    const label = formatClock(plot.fromMs + index * plot.bucketMs);
    return `<text class="dim" x="${round(toX(index))}" y="${HEIGHT - LABEL_GAP}" text-anchor="${tick === TIME_TICKS - 1 ? 'end' : 'middle'}">${label}</text>`;
  }).join('');

const drawLine = ({ name, values }: PlotSeries, colour: string, { toX, toY }: Frame): string => {
  const points = values.map((value, index) => `${round(toX(index))},${round(toY(value))}`);
  return (
    `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}">` +
    `<title>${escapeHtml(name)}</title></polyline>`
  );
};

const drawLegend = (series: readonly PlotSeries[]): string => {
  const items = series.map(
    ({ name }, index) =>
      `<span class="key" style="--dot: ${getColour(index)}">${escapeHtml(name)}</span>`,
  );
  return `<figcaption>${items.join('')}</figcaption>`;
};

/** The plot as a figure with a legend. */
export const drawLinePlot = (plot: LinePlot): string => {
  const values = plot.series.flatMap((series) => series.values);
  const ticks = listTicks(values.reduce((a, b) => Math.max(a, b), 0));
  const count = plot.series[0]?.values.length ?? 0;
  const frame = createFrame(count, ticks.at(-1) ?? 1);
  const parts = [
    ...ticks.map((tick) => drawValueTick(tick, plot, frame)),
    drawTimeTicks(count, plot, frame),
    ...plot.series.map((series, index) => drawLine(series, getColour(index), frame)),
  ];
  const title = escapeHtml(plot.title);
  return (
    `<figure><h3>${title}</h3>` +
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${title}">${parts.join('')}</svg>` +
    `${drawLegend(plot.series)}</figure>`
  );
};

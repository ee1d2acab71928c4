/** Horizontal bars as inline SVG: a bar for the median and a mark for the 95th percentile. */
import { escapeHtml } from '@snipehaven/timeline';
import { getColour } from './palette.js';
import { listTicks } from './scales.js';

/** One bar. */
export interface Bar {
  readonly label: string;
  readonly p50: number;
  readonly p95: number;
}

const WIDTH = 660;
const LEFT = 230;
const RIGHT = 70;
const TOP = 10;
const ROW = 26;
const BOTTOM = 24;
const BAR_HEIGHT = 12;
const LABEL_LENGTH = 32;

const round = (value: number): string => value.toFixed(1);

const shorten = (text: string): string =>
  text.length > LABEL_LENGTH ? `${text.slice(0, LABEL_LENGTH - 1)}…` : text;

const drawBar = (bar: Bar, row: number, toX: (value: number) => number): string => {
  const y = TOP + row * ROW + (ROW - BAR_HEIGHT) / 2;
  const middle = y + BAR_HEIGHT / 2 + 4;
  const end = toX(bar.p95);
  const values = `${Math.round(bar.p50)} / ${Math.round(bar.p95)}`;
  return [
    `<text x="${LEFT - 8}" y="${middle}" text-anchor="end">${escapeHtml(shorten(bar.label))}<title>${escapeHtml(bar.label)}</title></text>`,
    `<rect x="${LEFT}" y="${y}" width="${round(end - LEFT)}" height="${BAR_HEIGHT}" fill="${getColour(0)}" opacity="0.3"/>`,
    `<rect x="${LEFT}" y="${y}" width="${round(toX(bar.p50) - LEFT)}" height="${BAR_HEIGHT}" fill="${getColour(0)}"/>`,
    `<text class="dim" x="${round(end + 6)}" y="${middle}">${values}</text>`,
  ].join('');
};

const drawTick = (value: number, height: number, toX: (value: number) => number): string => {
  const x = round(toX(value));
  return (
    `<line class="rule" x1="${x}" x2="${x}" y1="${TOP}" y2="${height - BOTTOM}"/>` +
    `<text class="dim" x="${x}" y="${height - 6}" text-anchor="middle">${value}</text>`
  );
};

/** The bars as a figure; unit: milliseconds. */
export const drawBarPlot = (title: string, bars: readonly Bar[]): string => {
  const ticks = listTicks(bars.reduce((highest, bar) => Math.max(highest, bar.p95), 0));
  const limit = ticks.at(-1) ?? 1;
  const toX = (value: number): number => LEFT + (value / limit) * (WIDTH - LEFT - RIGHT);
  const height = TOP + Math.max(1, bars.length) * ROW + BOTTOM;
  const parts = [
    ...ticks.map((tick) => drawTick(tick, height, toX)),
    ...bars.map((bar, row) => drawBar(bar, row, toX)),
  ];
  const name = escapeHtml(title);
  return (
    `<figure><h3>${name}</h3>` +
    `<svg viewBox="0 0 ${WIDTH} ${height}" role="img" aria-label="${name}">${parts.join('')}</svg>` +
    '<figcaption>dark: median, light: 95th percentile, ms</figcaption></figure>'
  );
};

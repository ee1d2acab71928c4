/** The time line as one self-contained HTML page. */
import { eventGroups, getEventGroup } from '../eventGroups.js';
import { formatFacts } from '../formatEvents.js';
import type { TimelineEvent } from '../types.js';
import { escapeHtml, toScriptJson } from './escapeHtml.js';
import { buildPage } from './pageFrame.js';
import { buildLanes, getLaneKey, type Lane } from './timelineLanes.js';
import { TIMELINE_SCRIPT } from './timelineScript.js';
import { TIMELINE_STYLE } from './timelineStyle.js';

/** What the page says beside the events. */
export interface TimelinePageOptions {
  readonly title: string;
  readonly generatedAtMs: number;
  /** VMs whose events are missing. */
  readonly unreachable: readonly string[];
}

/** An event as the page's script reads it. */
interface PageEvent {
  readonly wallMs: number;
  readonly counter: number;
  readonly lane: number;
  readonly type: string;
  readonly group: string;
  readonly request: string;
  readonly version: string;
  readonly facts: string;
}

const toPageEvent = (event: TimelineEvent, lanes: ReadonlyMap<string, Lane>): PageEvent => ({
  wallMs: event.at.wallMs,
  counter: event.at.counter,
  lane: lanes.get(getLaneKey(event))?.row ?? 0,
  type: event.type,
  group: getEventGroup(event.type),
  request: event.subject.requestId ?? '',
  version: event.subject.version ?? '',
  facts: formatFacts(event),
});

const toOptions = (values: readonly string[]): string =>
  values.map((value) => `<option value="${escapeHtml(value)}">`).join('');

const listUnique = (values: readonly (string | undefined)[]): readonly string[] =>
  [...new Set(values.filter((value) => value !== undefined))].sort();

const buildFilter = (label: string, id: string, values: readonly string[]): string =>
  `<label>${label} <input id="${id}" list="${id}-list" autocomplete="off"></label>` +
  `<datalist id="${id}-list">${toOptions(values)}</datalist>`;

const buildFilters = (events: readonly TimelineEvent[]): string => {
  const requests = listUnique(events.map(({ subject }) => subject.requestId));
  const versions = listUnique(events.map(({ subject }) => subject.version));
  const types = listUnique(events.map(({ type }) => type));
  return [
    '<form id="filters">',
    buildFilter('Request', 'request', requests),
    buildFilter('Version', 'version', versions),
    buildFilter('Type', 'type', types),
    '<button type="button" id="whole">Whole time</button>',
    '<output id="count"></output>',
    '</form>',
  ].join('');
};

const buildLegend = (): string => {
  const groups = [...new Set(Object.values(eventGroups))];
  const items = groups.map(
    (group) =>
      `<label class="key ${group}"><input type="checkbox" value="${group}" checked>${group}</label>`,
  );
  return `<div id="legend">${items.join('')}</div>`;
};

const buildUnreachable = (unreachable: readonly string[]): string =>
  unreachable.length === 0
    ? ''
    : `<p class="missing">No answer from ${escapeHtml(unreachable.join(', '))}: their events are missing.</p>`;

const TABLE_HEAD = ['Time', 'Data centre', 'VM', 'Event', 'Facts']
  .map((heading) => `<th>${heading}</th>`)
  .join('');

const buildBody = (events: readonly TimelineEvent[], options: TimelinePageOptions): string => {
  const lanes = buildLanes(events);
  const data = {
    lanes: [...lanes.values()],
    events: events.map((event) => toPageEvent(event, lanes)),
  };
  return [
    `<h1>${escapeHtml(options.title)}</h1>`,
    `<p>${events.length} events of ${lanes.size} VMs, collected ${escapeHtml(new Date(options.generatedAtMs).toISOString())}. Drag over the lanes to zoom.</p>`,
    buildUnreachable(options.unreachable),
    buildFilters(events),
    buildLegend(),
    '<div id="picture"></div>',
    `<table><thead><tr>${TABLE_HEAD}</tr></thead><tbody id="rows"></tbody></table>`,
    '<p id="more"></p>',
    `<script type="application/json" id="data">${toScriptJson(data)}</script>`,
  ].join('\n');
};

/** The page; events must be in causal order. */
export const buildTimelinePage = (
  events: readonly TimelineEvent[],
  options: TimelinePageOptions,
): string =>
  buildPage({
    title: options.title,
    style: TIMELINE_STYLE,
    body: buildBody(events, options),
    script: TIMELINE_SCRIPT,
  });

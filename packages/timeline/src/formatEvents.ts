/** Events as text and as JSON lines. */
import type { TimelineEvent } from './types.js';

const VM_WIDTH = 14;
const TYPE_WIDTH = 22;
// A name from outside could carry escape codes that rewrite the operator's terminal.
const CONTROL_PATTERN = /[\u0000-\u001f\u007f-\u009f]/g; // eslint-disable-line no-control-regex

const toPairs = (facts: object): string =>
  Object.entries(facts)
    .filter((entry) => entry[1] !== undefined)
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');

/** The facts of an event in one line, such as `version=small@3 totalMs=12`. */
export const formatFacts = (event: TimelineEvent): string =>
  [toPairs(event.subject), toPairs(event.detail)].filter((text) => text !== '').join(' ');

const formatMoment = ({ wallMs, counter }: TimelineEvent['at']): string =>
  `${new Date(wallMs).toISOString()}+${counter}`;

const formatEvent = (event: TimelineEvent): string =>
  [
    formatMoment(event.at),
    event.dataCentre,
    event.vm.padEnd(VM_WIDTH),
    event.type.padEnd(TYPE_WIDTH),
    formatFacts(event),
  ]
    .join(' ')
    .replace(CONTROL_PATTERN, ' ')
    .trimEnd();

/** One line an event, for people. */
export const formatEventsAsText = (events: readonly TimelineEvent[]): string =>
  events.map((event) => `${formatEvent(event)}\n`).join('');

/** One JSON object a line, for programs. */
export const formatEventsAsJsonLines = (events: readonly TimelineEvent[]): string =>
  events.map((event) => `${JSON.stringify(event)}\n`).join('');

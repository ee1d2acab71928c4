/** For each late or unserved request: where its time went, and which decision put it there. */
import { readStories } from './readStories.js';
import type {
  Account,
  Delay,
  RequestStory,
  RouteAccount,
  Run,
  Trouble,
  TroubledRequest,
  UpstreamLoadLine,
} from './types.js';

/** Points of an upstream's load line; more can't be told apart on a page. */
const MAX_BUCKETS = 240;
const MIN_BUCKET_MS = 100;

const getRunMs = (run: Run, story: RequestStory): number =>
  run.upstreamMs ?? (run.endMs ?? story.endMs ?? run.sentMs) - run.sentMs;

/** Ms by step. A run that another one follows without being asked for a better answer has failed. */
const divideTime = (story: RequestStory): Readonly<Record<Delay, number>> => {
  const isAskedAgain = story.confidence !== undefined;
  const last = story.runs.at(-1);
  const sum = (runs: readonly Run[]): number =>
    runs.reduce((total, run) => total + getRunMs(run, story), 0);
  const first = isAskedAgain ? story.runs.slice(0, 1) : story.runs.slice(-1);
  const second = isAskedAgain && story.runs.length > 1 ? story.runs.slice(-1) : [];
  const failed = story.runs.filter((run) => !first.includes(run) && !second.includes(run));
  const isPaused = story.trouble === 'late' && (story.beganMs ?? Infinity) <= (story.targetMs ?? 0);
  return {
    here: story.runs[0]?.sentMs ?? story.endMs ?? 0,
    firstRun: sum(first),
    secondRun: sum(second),
    failedRuns: sum(failed),
    pauses: isPaused && last !== undefined ? (story.endMs ?? 0) - (story.beganMs ?? 0) : 0,
  };
};

const findLargest = (times: Readonly<Record<Delay, number>>): Delay =>
  (Object.entries(times) as [Delay, number][]).reduce((best, entry) =>
    entry[1] > best[1] ? entry : best,
  )[0];

const describeRun = (run: Run | undefined): string => {
  const expected = run?.expectedMs === undefined ? '' : `, expected ${run.expectedMs} ms`;
  return `${run?.model ?? 'plain'} at ${run?.upstream ?? 'none'}${expected}`;
};

const describers: Readonly<Record<Delay, (story: RequestStory) => string>> = {
  here: ({ reason }) => reason ?? 'not sent to any upstream',
  firstRun: (story) => `placed: ${describeRun(story.runs[0])}`,
  secondRun: (story) =>
    `asked again at confidence ${story.confidence}, begin expected in ${Math.round(story.expectedStartMs ?? 0)} ms; placed: ${describeRun(story.runs.at(-1))}`,
  failedRuns: (story) => `${story.runs.length} sendings, first ${describeRun(story.runs[0])}`,
  pauses: (story) => `written by ${describeRun(story.runs.at(-1))}`,
};

const toTroubled = (story: RequestStory): readonly TroubledRequest[] => {
  const { request, route, trouble, targetMs } = story;
  if (trouble === undefined) {
    return [];
  }
  const delay = findLargest(divideTime(story));
  return [
    {
      request,
      route,
      trouble,
      delay,
      tookMs: story.beganMs ?? story.endMs ?? 0,
      ...(targetMs === undefined ? {} : { targetMs }),
      decision: describers[delay](story),
    },
  ];
};

const countBy = <Name extends string>(
  names: readonly Name[],
  found: readonly Name[],
): Readonly<Record<Name, number>> =>
  Object.fromEntries(
    names.map((name) => [name, found.filter((one) => one === name).length]),
  ) as Record<Name, number>;

const TROUBLES: readonly Trouble[] = ['late', 'refused', 'callerGone'];
const DELAYS: readonly Delay[] = ['here', 'firstRun', 'secondRun', 'failedRuns', 'pauses'];

const sumUpRoute = (
  route: string,
  stories: readonly RequestStory[],
  troubled: readonly TroubledRequest[],
): RouteAccount => {
  const own = troubled.filter((one) => one.route === route);
  return {
    route,
    requests: stories.filter((story) => story.route === route).length,
    troubled: countBy(
      TROUBLES,
      own.map(({ trouble }) => trouble),
    ),
    delays: countBy(
      DELAYS,
      own.map(({ delay }) => delay),
    ),
  };
};

interface Span {
  readonly upstream: string;
  readonly fromMs: number;
  readonly toMs: number;
}

const listSpans = (stories: readonly RequestStory[]): readonly Span[] =>
  stories.flatMap((story) =>
    story.runs.map((run) => {
      const endMs = run.endMs ?? story.endMs ?? run.sentMs;
      const { upstream, sentAtMs: fromMs, sentMs } = run;
      return { upstream, fromMs, toMs: fromMs + endMs - sentMs };
    }),
  );

const countLoads = (
  spans: readonly Span[],
  startMs: number,
  bucketMs: number,
  buckets: number,
): readonly UpstreamLoadLine[] => {
  const upstreams = [...new Set(spans.map(({ upstream }) => upstream))].sort();
  return upstreams.map((upstream) => {
    const own = spans.filter((span) => span.upstream === upstream);
    const values = Array.from({ length: buckets }, (_unused, index) => {
      const atMs = startMs + index * bucketMs;
      return own.filter(({ fromMs, toMs }) => fromMs <= atMs && atMs < toMs).length;
    });
    return { upstream, runs: own.length, values };
  });
};

/** Of the lines of any number of daemons. */
export const buildAccount = (lines: Iterable<string>): Account => {
  const { stories, skippedLines } = readStories(lines);
  const troubled = stories.flatMap(toTroubled);
  const routes = [...new Set(stories.map(({ route }) => route))].sort();
  const spans = listSpans(stories);
  const startMs = spans.reduce((least, { fromMs }) => Math.min(least, fromMs), Infinity);
  const endMs = spans.reduce((most, { toMs }) => Math.max(most, toMs), 0);
  const lengthMs = Math.max(0, endMs - startMs);
  const bucketMs = Math.max(MIN_BUCKET_MS, Math.ceil(lengthMs / MAX_BUCKETS));
  const buckets = spans.length === 0 ? 0 : Math.ceil(lengthMs / bucketMs) + 1;
  return {
    routes: routes.map((route) => sumUpRoute(route, stories, troubled)),
    troubled,
    fromMs: spans.length === 0 ? 0 : startMs,
    bucketMs,
    loads: countLoads(spans, startMs, bucketMs, buckets),
    skippedLines,
  };
};

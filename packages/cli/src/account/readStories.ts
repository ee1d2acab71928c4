/** Puts the lines of any number of daemons together again, request by request. */
import { z } from 'zod';
import type { RequestStory, Run } from './types.js';

const lineSchema = z.object({
  timeMs: z.number(),
  event: z.string(),
  request: z.string().min(1),
  route: z.string(),
  atMs: z.number(),
  upstream: z.string().optional(),
  model: z.string().optional(),
  expectedMs: z.number().optional(),
  upstreamMs: z.number().optional(),
  confidence: z.number().optional(),
  expectedStartMs: z.number().optional(),
  beganMs: z.number().optional(),
  targetMs: z.number().optional(),
  isLate: z.boolean().optional(),
  reason: z.string().optional(),
});

type Line = z.output<typeof lineSchema>;

export interface Stories {
  readonly stories: readonly RequestStory[];
  readonly skippedLines: number;
}

/** Whatever stands before the object, as a collector's own time and host, is passed over. */
const parseLine = (text: string): Line | undefined => {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    return undefined;
  }
};

const toRun = (line: Line): Run => ({
  upstream: line.upstream ?? '',
  sentMs: line.atMs,
  sentAtMs: line.timeMs,
  ...(line.model === undefined ? {} : { model: line.model }),
  ...(line.expectedMs === undefined ? {} : { expectedMs: line.expectedMs }),
});

/** The last run ends with the line; what it tells of the upstream is kept. */
const endRun = (story: RequestStory, line: Line): void => {
  const run = story.runs.at(-1);
  if (run !== undefined && run.endMs === undefined) {
    const told = line.upstreamMs === undefined ? {} : { upstreamMs: line.upstreamMs };
    Object.assign(run, { endMs: line.atMs, ...told });
  }
};

type LineTaker = (story: RequestStory, line: Line) => void;

const takers: Readonly<Record<string, LineTaker>> = {
  sent: (story, line) => {
    endRun(story, line);
    story.runs.push(toRun(line));
  },
  askedLargerModel: (story, line) => {
    endRun(story, line);
    Object.assign(story, {
      ...(line.confidence === undefined ? {} : { confidence: line.confidence }),
      ...(line.expectedStartMs === undefined ? {} : { expectedStartMs: line.expectedStartMs }),
    });
  },
  attemptFailed: endRun,
  movedOnSilence: endRun,
  repeatedAfterFailure: endRun,
  answered: (story, line) => {
    endRun(story, line);
    Object.assign(story, {
      endMs: line.atMs,
      ...(line.beganMs === undefined ? {} : { beganMs: line.beganMs }),
      ...(line.targetMs === undefined ? {} : { targetMs: line.targetMs }),
      ...(line.isLate === true ? { trouble: 'late' } : {}),
    });
  },
  refused: (story, line) => {
    endRun(story, line);
    Object.assign(story, { endMs: line.atMs, trouble: 'refused', reason: line.reason ?? '' });
  },
  callerGone: (story, line) => {
    endRun(story, line);
    Object.assign(story, { endMs: line.atMs, trouble: 'callerGone' });
  },
};

/** Lines of one daemon must be in their order; those of several may be mixed in any way. */
export const readStories = (lines: Iterable<string>): Stories => {
  const stories = new Map<string, RequestStory>();
  let skippedLines = 0;
  for (const text of lines) {
    const line = parseLine(text);
    const take = line && takers[line.event];
    if (line === undefined || take === undefined) {
      skippedLines += text.trim() === '' ? 0 : 1;
      continue;
    }
    const { request, route } = line;
    const story: RequestStory = stories.get(request) ?? { request, route, runs: [] };
    stories.set(request, story);
    take(story, line);
  }
  return { stories: [...stories.values()], skippedLines };
};

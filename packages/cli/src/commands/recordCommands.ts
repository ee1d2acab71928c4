/** `snipectl billing`, `timeline` and `report`. */
import { Command, Option } from 'clipanion';
import {
  buildTimelinePage,
  formatEventsAsJsonLines,
  formatEventsAsText,
  mergeTimelines,
  type TimelineEvent,
} from '@snipehaven/timeline';
import { OperatorApi, type TimelineCallQuery } from '../api/operatorApi.js';
import type { TimelineReply } from '../api/schemas.js';
import { selectAllEndpoints, type Endpoint } from '../contexts/selectEndpoint.js';
import { SnipectlError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { formatBilling, formatLatency, formatRollouts } from '../output/formatStatus.js';
import { readOptionalMomentMs } from '../output/readDuration.js';
import { writeTextFile } from '../output/writeTextFile.js';
import { buildReportPage } from '../report/reportPage.js';
import { SnipectlCommand } from './snipectlCommand.js';

interface Period {
  readonly since: string | undefined;
  readonly until: string | undefined;
}

/** Both ends may be moments, or durations before now. */
const readPeriod = ({ since, until }: Period) => {
  const nowMs = Date.now();
  return {
    fromMs: readOptionalMomentMs(since, nowMs),
    untilMs: readOptionalMomentMs(until, nowMs),
  };
};

export class BillingCommand extends SnipectlCommand {
  static override paths = [['billing']];

  static override usage = Command.Usage({
    category: 'Records',
    description: 'Show what teams are billed, by version.',
    examples: [['The last day of a team', '$0 billing --team studio-north --since 1d']],
  });

  team = Option.String('--team', { description: 'Only this team.' });

  since = Option.String('--since', { description: 'A time, or a duration before now.' });

  until = Option.String('--until', { description: 'A time, or a duration before now.' });

  protected async act(): Promise<ExitCode> {
    const query = { team: this.team, ...readPeriod(this) };
    const billing = await this.withApi((api) => api.getBilling(query));
    this.show(billing, () => formatBilling(billing.rows));
    return exitCodes.ok;
  }
}

export class TimelineCommand extends SnipectlCommand {
  static override paths = [['timeline']];

  static override usage = Command.Usage({
    category: 'Records',
    description: 'Show the events of all daemons in causal order.',
    details: `Each daemon keeps its latest events only. Daemons that do not answer are named on
      stderr. With --all every context of the contexts file is asked, as while data centres are cut
      off from each other.`,
    examples: [
      ['One request', '$0 timeline --request entry-1-8f3a'],
      ['A page for the browser', '$0 timeline --since 15m --html timeline.html'],
    ],
  });

  since = Option.String('--since', { description: 'A time, or a duration before now.' });

  request = Option.String('--request', { description: 'Only events of this request.' });

  version = Option.String('--version', { description: 'Only events of this version.' });

  team = Option.String('--team', { description: 'Only events of this team.' });

  types = Option.String('--types', { description: 'Only these types, separated by commas.' });

  html = Option.String('--html', { description: 'Write one self-contained page to this file.' });

  isJsonLines = Option.Boolean('--json', false, { description: 'Write JSON lines.' });

  isAll = Option.Boolean('--all', false, { description: 'Ask every context.' });

  protected async act(): Promise<ExitCode> {
    const replies = await this.collect({
      sinceMs: readOptionalMomentMs(this.since, Date.now()),
      requestId: this.request,
      version: this.version,
      team: this.team,
      types: this.types,
    });
    const events = mergeTimelines(replies.map((reply) => reply.events as TimelineEvent[]));
    const unreachable = [...new Set(replies.flatMap((reply) => reply.unreachable))].sort();
    if (unreachable.length > 0) {
      this.warn(`no answer from ${unreachable.join(', ')}: their events are missing`);
    }
    await this.present(events, unreachable);
    return exitCodes.ok;
  }

  private async collect(query: TimelineCallQuery): Promise<readonly TimelineReply[]> {
    if (!this.isAll) {
      return [await this.withApi((api) => api.getTimeline(query))];
    }
    const endpoints = await selectAllEndpoints(this.endpointChoice, this.context.env);
    return Promise.all(endpoints.map((endpoint) => this.collectFrom(endpoint, query)));
  }

  /** A data centre that cannot be reached must not hide what the others tell. */
  private async collectFrom(endpoint: Endpoint, query: TimelineCallQuery): Promise<TimelineReply> {
    const api = new OperatorApi(endpoint);
    try {
      return await api.getTimeline(query);
    } catch (error) {
      if (!(error instanceof SnipectlError)) {
        throw error;
      }
      return { events: [], unreachable: [`context ${endpoint.name} (${error.code})`] };
    } finally {
      await api.close();
    }
  }

  private async present(
    events: readonly TimelineEvent[],
    unreachable: readonly string[],
  ): Promise<void> {
    if (this.html !== undefined) {
      const options = { title: 'Time line', generatedAtMs: Date.now(), unreachable };
      await writeTextFile(this.html, buildTimelinePage(events, options));
      this.write(`${events.length} events written to ${this.html}\n`);
      return;
    }
    const isJson = this.isJsonLines || this.isJson;
    this.write(isJson ? formatEventsAsJsonLines(events) : formatEventsAsText(events));
  }
}

export class ReportCommand extends SnipectlCommand {
  static override paths = [['report']];

  static override usage = Command.Usage({
    category: 'Records',
    description: 'Report cost, latency and exposure by team and version.',
    examples: [['A page for the browser', '$0 report --since 2h --html report.html']],
  });

  team = Option.String('--team', { description: 'Only this team.' });

  since = Option.String('--since', '1h', { description: 'A time, or a duration before now.' });

  until = Option.String('--until', { description: 'A time, or a duration before now.' });

  html = Option.String('--html', { description: 'Write one self-contained page to this file.' });

  protected async act(): Promise<ExitCode> {
    const query = { team: this.team, ...readPeriod(this) };
    const report = await this.withApi((api) => api.getReport(query));
    if (this.html !== undefined) {
      await writeTextFile(this.html, buildReportPage(report));
      this.write(`report written to ${this.html}\n`);
      return exitCodes.ok;
    }
    this.show(report, () =>
      [
        formatBilling(report.billing),
        formatLatency(report.latency),
        formatRollouts(report.rollouts),
      ].join('\n'),
    );
    return exitCodes.ok;
  }
}

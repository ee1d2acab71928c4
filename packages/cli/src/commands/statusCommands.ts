/** `snipectl status`, `members`, `top` and `contexts`. */
import { Command, Option } from 'clipanion';
import type { OperatorApi } from '../api/operatorApi.js';
import type { MemberReply } from '../api/schemas.js';
import { REDRAW_MS } from '../constants.js';
import { loadContexts } from '../contexts/selectEndpoint.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { formatTable } from '../output/formatTable.js';
import { formatLatency, formatRollouts, formatStatus } from '../output/formatStatus.js';
import { readDurationMs } from '../output/readDuration.js';
import { redraw } from '../output/redraw.js';
import { SnipectlCommand } from './snipectlCommand.js';

export class StatusCommand extends SnipectlCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'Show what is in force, and who is behind.',
    examples: [['The state', '$0 status']],
  });

  protected async act(): Promise<ExitCode> {
    const status = await this.withApi((api) => api.getStatus());
    this.show(status, () => formatStatus(status));
    return exitCodes.ok;
  }
}

const liveStates: ReadonlySet<string> = new Set(['alive', 'suspect']);

/** Whether a live member has applied the newest revision; the others report nothing. */
const getConfigurationState = ({ state, isBehind }: MemberReply): string => {
  if (!liveStates.has(state)) {
    return '-';
  }
  return isBehind ? 'behind' : 'applied';
};

export class MembersCommand extends SnipectlCommand {
  static override paths = [['members']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'List the daemons as the asked one sees them.',
    examples: [['All daemons', '$0 members']],
  });

  protected async act(): Promise<ExitCode> {
    const reply = await this.withApi((api) => api.listMembers());
    this.show(reply, () =>
      formatTable(
        ['VM', 'DATA CENTRE', 'STATE', 'CONFIGURATION', 'ADDRESS', 'INCARNATION'],
        reply.members.map((member) => [
          `${member.vm}${member.isSelf ? ' (asked)' : ''}`,
          member.dataCentre,
          member.state,
          getConfigurationState(member),
          member.address,
          member.incarnation,
        ]),
      ),
    );
    return exitCodes.ok;
  }
}

export class TopCommand extends SnipectlCommand {
  static override paths = [['top']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'Redraw the state, latency and roll-outs.',
    examples: [['Once, for a script', '$0 top --count 1']],
  });

  interval = Option.String('--interval', `${REDRAW_MS}ms`, { description: 'Time between draws.' });

  count = Option.String('--count', { description: 'Draw so often, then end.' });

  protected async act(): Promise<ExitCode> {
    const intervalMs = readDurationMs(this.interval);
    const count = this.count === undefined ? Infinity : Number(this.count);
    if (Number.isNaN(count)) {
      throw new InvalidInputError('--count must be a number');
    }
    await this.withApi((api) =>
      redraw(() => this.draw(api), {
        output: this.context.stdout,
        isTerminal: this.isTerminal,
        intervalMs,
        count,
      }),
    );
    return exitCodes.ok;
  }

  private async draw(api: OperatorApi) {
    const [status, { latency }, { rollouts }] = await Promise.all([
      api.getStatus(),
      api.listLatency(),
      api.listRollouts(),
    ]);
    const text = this.isJson
      ? `${JSON.stringify({ status, latency, rollouts })}\n`
      : [formatStatus(status), formatLatency(latency), formatRollouts(rollouts)].join('\n');
    return { text, isDone: false };
  }
}

export class ContextsCommand extends SnipectlCommand {
  static override paths = [['contexts']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'List the contexts of the contexts file.',
    examples: [['All contexts', '$0 contexts']],
  });

  protected async act(): Promise<ExitCode> {
    const file = await loadContexts(this.endpointChoice, this.context.env);
    const current = file.current ?? Object.keys(file.contexts)[0];
    const rows = Object.entries(file.contexts).map(([name, { urls }]) => ({
      name,
      urls,
      isCurrent: name === current,
    }));
    this.show({ contexts: rows }, () =>
      formatTable(
        ['CONTEXT', 'CURRENT', 'URLS'],
        rows.map(({ name, isCurrent, urls }) => [name, isCurrent ? 'yes' : '', urls.join(' ')]),
      ),
    );
    return exitCodes.ok;
  }
}

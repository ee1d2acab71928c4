/** `snipectl delete`: deletes a resource. */
import { Command, Option } from 'clipanion';
import type { OperatorApi } from '../api/operatorApi.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { readDurationMs } from '../output/readDuration.js';
import { confirm } from './confirm.js';
import { SnipectlCommand } from './snipectlCommand.js';
import { requireWaitCondition, waitInForce } from './waitInForce.js';

export class DeleteCommand extends SnipectlCommand {
  static override paths = [['delete']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Delete a resource. Deleting a Withdrawal lifts it.',
    examples: [['Delete a team', '$0 delete Team studio-north --yes']],
  });

  kind = Option.String();

  resourceName = Option.String();

  isSure = Option.Boolean('--yes', false, { description: 'Do not ask.' });

  isDryRun = Option.Boolean('--dry-run', false, { description: 'Only check.' });

  wait = Option.String('--wait', { description: 'inForce: until every daemon has applied it.' });

  timeout = Option.String('--timeout', '10s', { description: 'How long to wait.' });

  protected async act(): Promise<ExitCode> {
    requireWaitCondition(this.wait);
    const timeoutMs = readDurationMs(this.timeout);
    if (!(await this.isConfirmed())) {
      return exitCodes.declined;
    }
    return this.withApi(async (api) => {
      const revision = await this.remove(api);
      if (this.wait !== undefined && !this.isDryRun) {
        await waitInForce(api, revision, timeoutMs);
      }
      return exitCodes.ok;
    });
  }

  private async isConfirmed(): Promise<boolean> {
    const { stdin, stderr } = this.context;
    const isAsked = !this.isSure && !this.isDryRun;
    return !isAsked || confirm(`delete ${this.kind} ${this.resourceName}?`, stdin, stderr);
  }

  /** Deletes what was read, not what another operator may have put there since. */
  private async remove(api: OperatorApi): Promise<number> {
    const { metadata } = await api.getResource(this.kind, this.resourceName);
    const reply = await api.removeResource(this.kind, this.resourceName, {
      resourceVersion: metadata.resourceVersion,
      isDryRun: this.isDryRun,
    });
    const verb = this.isDryRun ? 'would be deleted' : 'deleted';
    this.show(reply, () => `${this.kind} ${this.resourceName} ${verb}\n`);
    return reply.revision;
  }
}

/** `snipectl apply`: creates or replaces resources. */
import { Command, Option } from 'clipanion';
import type { OperatorApi, SentManifest } from '../api/operatorApi.js';
import type { ApplyReply } from '../api/schemas.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { readAllManifests } from '../manifests/readManifests.js';
import { formatApply } from '../output/formatResources.js';
import { readDurationMs } from '../output/readDuration.js';
import { SnipectlCommand } from './snipectlCommand.js';
import { requireWaitCondition, waitInForce } from './waitInForce.js';
import { writeManifest } from './writeManifest.js';

/** Marks stand outside the configuration's revisions. */
const isRevisioned = (reply: ApplyReply): boolean => reply.resource.status.inForce !== undefined;

const getHighestRevision = (replies: readonly ApplyReply[]): number =>
  Math.max(
    0,
    ...replies.filter(isRevisioned).map(({ resource }) => resource.metadata.resourceVersion),
  );

export class ApplyCommand extends SnipectlCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Create or replace resources.',
    details: `All files are checked before the first resource is written; then they are written in
      order, up to the first one that is refused. Each is written only if it is still as it was when
      read: another operator's change in between ends with exit code 3. A dry run cannot see
      resources that the same file would create before.`,
    examples: [
      ['Apply a file and wait', '$0 apply -f team.toml --wait inForce --timeout 10s'],
      ['Only check', '$0 apply -f team.toml --dry-run'],
    ],
  });

  files = Option.Array('-f,--file', {
    required: true,
    description: 'TOML or JSON file; - reads the standard input. May be repeated.',
  });

  isDryRun = Option.Boolean('--dry-run', false, { description: 'Say what would change.' });

  wait = Option.String('--wait', { description: 'inForce: until every daemon has applied it.' });

  timeout = Option.String('--timeout', '10s', { description: 'How long to wait.' });

  protected async act(): Promise<ExitCode> {
    requireWaitCondition(this.wait);
    const timeoutMs = readDurationMs(this.timeout);
    const manifests = await readAllManifests(this.files, this.context.stdin);
    return this.withApi(async (api) => {
      const replies = await this.applyAll(api, manifests);
      if (this.wait !== undefined && !this.isDryRun) {
        await waitInForce(api, getHighestRevision(replies), timeoutMs);
      }
      if (this.isJson) {
        this.show({ results: replies }, () => '');
      }
      return exitCodes.ok;
    });
  }

  private async applyAll(
    api: OperatorApi,
    manifests: readonly SentManifest[],
  ): Promise<readonly ApplyReply[]> {
    const replies: ApplyReply[] = [];
    for (const manifest of manifests) {
      const reply = await writeManifest(api, manifest, this.isDryRun);
      replies.push(reply);
      if (!this.isJson) {
        this.write(formatApply(reply));
      }
    }
    return replies;
  }
}

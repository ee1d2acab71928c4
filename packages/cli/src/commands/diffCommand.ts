/** `snipectl diff`: what an apply would change. */
import { Command, Option } from 'clipanion';
import type { ApplyReply } from '../api/schemas.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { readAllManifests } from '../manifests/readManifests.js';
import { formatApply } from '../output/formatResources.js';
import { SnipectlCommand } from './snipectlCommand.js';
import { writeManifest } from './writeManifest.js';

export class DiffCommand extends SnipectlCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Show what an apply would change; exit code 8 where it would change something.',
    examples: [['Before an apply', '$0 diff -f team.toml']],
  });

  files = Option.Array('-f,--file', {
    required: true,
    description: 'TOML or JSON file; - reads the standard input. May be repeated.',
  });

  protected async act(): Promise<ExitCode> {
    const manifests = await readAllManifests(this.files, this.context.stdin);
    const replies = await this.withApi(async (api) => {
      const found: ApplyReply[] = [];
      for (const manifest of manifests) {
        found.push(await writeManifest(api, manifest, true));
      }
      return found;
    });
    this.show({ results: replies }, () => replies.map(formatApply).join(''));
    const isSame = replies.every(({ action }) => action === 'unchanged');
    return isSame ? exitCodes.ok : exitCodes.different;
  }
}

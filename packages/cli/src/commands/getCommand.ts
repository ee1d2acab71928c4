/** `snipectl get`: lists resources. */
import { Command, Option } from 'clipanion';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { formatResources } from '../output/formatResources.js';
import { SnipectlCommand } from './snipectlCommand.js';

export class GetCommand extends SnipectlCommand {
  static override paths = [['get']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'List the resources of a kind, or show one.',
    examples: [
      ['All teams', '$0 get Team'],
      ['One, to edit and apply again', '$0 get Team studio-north -o json'],
    ],
  });

  kind = Option.String();

  resourceName = Option.String({ required: false });

  protected async act(): Promise<ExitCode> {
    return this.withApi(async (api) => {
      if (this.resourceName === undefined) {
        const list = await api.listResources(this.kind);
        this.show(list, () => formatResources(list.resources));
        return exitCodes.ok;
      }
      const resource = await api.getResource(this.kind, this.resourceName);
      this.show(resource, () => formatResources([resource]));
      return exitCodes.ok;
    });
  }
}

/** `snipectl config check`: checks a daemon's settings file. */
import { Command, Option } from 'clipanion';
import { readText } from '../contexts/contextsFile.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { SnipectlCommand } from './snipectlCommand.js';

export class ConfigCheckCommand extends SnipectlCommand {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'Check a settings file of snipehavend.',
    examples: [['Before a roll of the VMs', '$0 config check snipehavend.toml']],
  });

  file = Option.String();

  protected async act(): Promise<ExitCode> {
    const text = await readText(this.file);
    const issues = await this.context.checkSettings(text, this.file);
    if (issues.length > 0) {
      throw new InvalidInputError(issues.join('\n'));
    }
    this.show({ file: this.file, isValid: true }, () => `${this.file} is valid\n`);
    return exitCodes.ok;
  }
}

/** The daemon's only command: serve, or check and describe settings. */
import { Builtins, Cli, Command, Option } from 'clipanion';
import { createLogger, getErrorMessage } from '@snipehaven/common';
import { runDaemon } from './runDaemon.js';
import { checkSettings, describeSettings, readSettings, SettingsError } from './settings/index.js';

const EXIT_OK = 0;
const EXIT_UNFINISHED = 1;
const EXIT_SETTINGS = 2;

class ServeCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Serves callers, operators and peers.',
    details:
      'Exit codes: 0 stopped cleanly, 1 something was left unfinished, 2 the settings are wrong.',
    examples: [['Serve', 'snipehavend -c /etc/snipehaven/daemon.toml']],
  });

  config = Option.String('-c,--config', { description: 'Settings file (TOML).' });

  checkConfig = Option.Boolean('--check-config', false, {
    description: 'Only check the settings file and its secrets.',
  });

  describe = Option.Boolean('--describe-settings', false, {
    description: 'Print the reference page of all settings.',
  });

  override async execute(): Promise<number> {
    if (this.describe) {
      this.context.stdout.write(describeSettings());
      return EXIT_OK;
    }
    try {
      return await this.#serve();
    } catch (error) {
      this.context.stderr.write(`${getErrorMessage(error)}\n`);
      return error instanceof SettingsError ? EXIT_SETTINGS : EXIT_UNFINISHED;
    }
  }

  async #serve(): Promise<number> {
    if (this.config === undefined) {
      throw new SettingsError(['no settings file: give one with -c']);
    }
    const settings = readSettings(this.config);
    checkSettings(settings, process.env);
    if (this.checkConfig) {
      this.context.stdout.write(`${this.config}: ok\n`);
      return EXIT_OK;
    }
    const { name, dataCentre } = settings.vm;
    return runDaemon(settings, createLogger(settings.log.level, { vm: name, dataCentre }));
  }
}

/** The command line; `run` resolves with the exit code. */
export const createDaemonCli = (): Cli => {
  const cli = new Cli({ binaryName: 'snipehavend', binaryLabel: 'snipehaven daemon' });
  cli.register(ServeCommand);
  cli.register(Builtins.HelpCommand);
  return cli;
};

/** `snipectl account`: where late and unserved requests spent their time, from daemons' lines. */
import { Command, Option } from 'clipanion';
import { buildAccount, buildAccountPage, formatAccount } from '../account/index.js';
import { readText } from '../contexts/contextsFile.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { writeTextFile } from '../output/writeTextFile.js';
import { SnipectlCommand } from './snipectlCommand.js';

const USUAL_MOST = '20';

const readMost = (text: string): number => {
  const most = Number(text);
  if (!Number.isInteger(most) || most < 0) {
    throw new InvalidInputError(`--most ${text}: not a whole number of requests`);
  }
  return most;
};

export class AccountCommand extends SnipectlCommand {
  static override paths = [['account']];

  static override usage = Command.Usage({
    category: 'Records',
    description:
      'Tell where late and unserved requests spent their time, from the lines of daemons.',
    details: `Each file holds the lines that one daemon or several wrote to standard output, as JSON, each
      with anything before its object. Of each request that was late, refused or left by its caller it tells
      the step that took most of the time, and the decision behind it with its inputs.`,
    examples: [
      ['The worst twenty requests', '$0 account vm-1.log vm-2.log'],
      ['A page with each engine’s load over time', '$0 account *.log --html account.html'],
    ],
  });

  files = Option.Rest({ required: 1 });

  most = Option.String('--most', USUAL_MOST, { description: 'List this many requests.' });

  html = Option.String('--html', { description: 'Write one self-contained page to this file.' });

  protected async act(): Promise<ExitCode> {
    const most = readMost(this.most);
    const texts = await Promise.all(this.files.map((file) => readText(file)));
    const account = buildAccount(texts.flatMap((text) => text.split('\n')));
    if (account.routes.length === 0) {
      throw new InvalidInputError(
        `no request in ${account.skippedLines} lines: not daemons' lines?`,
      );
    }
    this.show(account, () => formatAccount(account, most));
    if (this.html !== undefined) {
      await writeTextFile(this.html, buildAccountPage(account, most));
    }
    return exitCodes.ok;
  }
}

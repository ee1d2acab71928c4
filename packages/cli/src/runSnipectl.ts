/** Runs snipectl in any process: the binary's, or a test's. */
import { Cli } from 'clipanion';
import { commands } from './commands/index.js';
import { BINARY_NAME } from './constants.js';
import { exitCodes } from './exitCodes.js';
import type { SnipectlContext } from './types.js';

const createCli = (): Cli<SnipectlContext> => {
  const cli = new Cli<SnipectlContext>({
    binaryName: BINARY_NAME,
    binaryLabel: 'snipehaven operators',
    binaryVersion: '0.1.0',
  });
  commands.forEach((command) => cli.register(command));
  return cli;
};

/** Runs one command line; resolves with its exit code. Wrong usage goes to stderr. */
export const runSnipectl = async (
  args: readonly string[],
  context: SnipectlContext,
): Promise<number> => {
  const cli = createCli();
  try {
    const command = cli.process([...args], context);
    return await cli.run(command, context);
  } catch (error) {
    const colored = context.colorDepth > 1;
    context.stderr.write(cli.error(error, { colored }));
    return exitCodes.usage;
  }
};

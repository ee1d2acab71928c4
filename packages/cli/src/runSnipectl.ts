/** Runs snipectl in any process: the binary's, or a test's. */
import { Cli } from 'clipanion';
import { commands } from './commands/index.js';
import { BINARY_NAME } from './constants.js';
import { exitCodes } from './exitCodes.js';
import { areColoursOn, isTerminal } from './output/colours.js';
import type { SnipectlContext } from './types.js';

/** Left to itself the library colours its help in pipes too. */
const createCli = (isColoured: boolean): Cli<SnipectlContext> => {
  const cli = new Cli<SnipectlContext>({
    binaryName: BINARY_NAME,
    binaryLabel: 'snipehaven operators',
    binaryVersion: '0.1.0',
    enableColors: isColoured,
  });
  commands.forEach((command) => cli.register(command));
  return cli;
};

/** Runs one command line; resolves with its exit code. Wrong usage goes to stderr. */
export const runSnipectl = async (
  args: readonly string[],
  context: SnipectlContext,
): Promise<number> => {
  const isColoured = areColoursOn(isTerminal(context.stdout), context.env.NO_COLOR);
  const cli = createCli(isColoured);
  try {
    const command = cli.process([...args], context);
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(cli.error(error, { colored: isColoured }));
    return exitCodes.usage;
  }
};

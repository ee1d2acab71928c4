#!/usr/bin/env node
/** The operators' command line. */
/* eslint n/hashbang: "off" -- the rule does not see that this is compiled to the package's bin. */
import { Cli } from 'clipanion';
import { checkDaemonSettings } from './checkDaemonSettings.js';
import { exitCodes } from './exitCodes.js';
import { runSnipectl } from './runSnipectl.js';

/**
 * A reader that has enough, such as `head`, closes the pipe. The next write would end the program
 * with a stack trace; it ends quietly instead, as there is nobody left to write for.
 */
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  // A watch would go on for nobody.
  process.exit(error.code === 'EPIPE' ? exitCodes.ok : exitCodes.usage);
});

process.exitCode = await runSnipectl(process.argv.slice(2), {
  ...Cli.defaultContext,
  checkSettings: checkDaemonSettings,
});

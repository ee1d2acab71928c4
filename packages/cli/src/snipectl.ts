#!/usr/bin/env node
/** The operators' command line. */
/* eslint n/hashbang: "off" -- the rule does not see that this is compiled to the package's bin. */
import { Cli } from 'clipanion';
import { checkDaemonSettings } from './checkDaemonSettings.js';
import { runSnipectl } from './runSnipectl.js';

process.exitCode = await runSnipectl(process.argv.slice(2), {
  ...Cli.defaultContext,
  checkSettings: checkDaemonSettings,
});

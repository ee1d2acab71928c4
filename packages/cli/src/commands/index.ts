/** All commands. */
import { Builtins } from 'clipanion';
import { ApplyCommand } from './applyCommand.js';
import { GetCommand } from './getCommand.js';
import { DrainCommand, LiftCommand, WithdrawCommand } from './safeMoveCommands.js';

export const commands = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ApplyCommand,
  GetCommand,
  WithdrawCommand,
  LiftCommand,
  DrainCommand,
] as const;

/** All commands. */
import { Builtins } from 'clipanion';
import { AccountCommand } from './accountCommand.js';
import { ApplyCommand } from './applyCommand.js';
import { CompletionCommand } from './completionCommand.js';
import { ConfigCheckCommand } from './configCheckCommand.js';
import { DeleteCommand } from './deleteCommand.js';
import { DescribeCommand } from './describeCommand.js';
import { DiffCommand } from './diffCommand.js';
import { ExplainCommand } from './explainCommand.js';
import { GetCommand } from './getCommand.js';
import { BillingCommand, ReportCommand, TimelineCommand } from './recordCommands.js';
import {
  RolloutPauseCommand,
  RolloutResumeCommand,
  RolloutStatusCommand,
} from './rolloutCommands.js';
import { DrainCommand, EvacuateCommand, LiftCommand, WithdrawCommand } from './safeMoveCommands.js';
import { ContextsCommand, MembersCommand, StatusCommand, TopCommand } from './statusCommands.js';
import { WatchCommand } from './watchCommand.js';

export const commands = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ApplyCommand,
  GetCommand,
  DescribeCommand,
  DeleteCommand,
  DiffCommand,
  WatchCommand,
  ExplainCommand,
  RolloutStatusCommand,
  RolloutPauseCommand,
  RolloutResumeCommand,
  WithdrawCommand,
  LiftCommand,
  DrainCommand,
  EvacuateCommand,
  BillingCommand,
  TimelineCommand,
  ReportCommand,
  AccountCommand,
  StatusCommand,
  MembersCommand,
  TopCommand,
  ContextsCommand,
  ConfigCheckCommand,
  CompletionCommand,
] as const;

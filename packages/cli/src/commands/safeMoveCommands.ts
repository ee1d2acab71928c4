/** `snipectl withdraw`, `lift`, `drain` and `evacuate`. */
import { Command, Option } from 'clipanion';
import type { SafeMoveKind, SafeMoveReply } from '../api/schemas.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { confirm } from './confirm.js';
import { SnipectlCommand } from './snipectlCommand.js';

const markKinds: readonly SafeMoveKind[] = ['withdraw', 'quarantine', 'drain', 'evacuate'];

const formatMark = (verb: string, subject: string, reply: SafeMoveReply): string => {
  const durability =
    reply.durability === 'durable'
      ? 'in the table'
      : 'in force, NOT durable yet: the table has not taken it';
  return `${subject} ${verb}, generation ${reply.move.generation}: ${durability}\n`;
};

abstract class MarkCommand extends SnipectlCommand {
  reason = Option.String('--reason', '', { description: 'Kept with the mark.' });

  isSure = Option.Boolean('--yes', false, { description: 'Do not ask.' });

  protected async confirmed(question: string): Promise<boolean> {
    const { stdin, stderr } = this.context;
    return this.isSure || confirm(question, stdin, stderr);
  }

  protected showMark(verb: string, subject: string, reply: SafeMoveReply): void {
    if (!reply.isKnownSubject) {
      this.warn(`the configuration knows no ${subject}; the mark stands all the same`);
    }
    this.show(reply, () => formatMark(verb, subject, reply));
  }
}

export class WithdrawCommand extends MarkCommand {
  static override paths = [['withdraw']];

  static override usage = Command.Usage({
    category: 'Safe moves',
    description: 'Withdraw a version: it gets no new work.',
    details: `Works at any daemon, also while the table is away or the data centre is cut off; the
      answer then says that the mark is not durable yet.`,
    examples: [['Withdraw', '$0 withdraw small@3 --reason "wrong filings" --yes']],
  });

  version = Option.String();

  isQuarantine = Option.Boolean('--quarantine', false, {
    description: 'Quarantine in place of withdrawing.',
  });

  protected async act(): Promise<ExitCode> {
    if (!(await this.confirmed(`withdraw ${this.version} everywhere?`))) {
      return exitCodes.declined;
    }
    const kind = this.isQuarantine ? 'quarantine' : 'withdraw';
    const reply = await this.withApi((api) =>
      api.activateSafeMove(kind, this.version, this.reason),
    );
    this.showMark(kind === 'withdraw' ? 'withdrawn' : 'quarantined', this.version, reply);
    return exitCodes.ok;
  }
}

export class LiftCommand extends MarkCommand {
  static override paths = [['lift']];

  static override usage = Command.Usage({
    category: 'Safe moves',
    description: 'Lift a withdrawal, a quarantine, a drain or an evacuation.',
    details: 'A risky move: refused while the table is away.',
    examples: [
      ['Allow the version again', '$0 lift small@3'],
      ['Give an upstream work again', '$0 lift engine-7 --kind drain'],
      ['Take a data centre back', '$0 lift north-2 --kind evacuate'],
    ],
  });

  subject = Option.String();

  kind = Option.String('--kind', 'withdraw', {
    description: 'withdraw, quarantine, drain or evacuate.',
  });

  protected async act(): Promise<ExitCode> {
    const kind = markKinds.find((known) => known === this.kind);
    if (kind === undefined) {
      throw new InvalidInputError(`no mark ${this.kind}; there are ${markKinds.join(', ')}`);
    }
    if (!(await this.confirmed(`lift the ${kind} of ${this.subject}?`))) {
      return exitCodes.declined;
    }
    const reply = await this.withApi((api) => api.liftSafeMove(kind, this.subject, this.reason));
    this.showMark(`lifted (${kind})`, this.subject, reply);
    return exitCodes.ok;
  }
}

export class EvacuateCommand extends MarkCommand {
  static override paths = [['evacuate']];

  static override usage = Command.Usage({
    category: 'Safe moves',
    description: 'Evacuate a data centre: its upstreams get no new work until it is taken back.',
    details: `What runs there ends there. Works also while the table is away. Shown by status;
      taken back by lift with --kind evacuate.`,
    examples: [['Before work on its power', '$0 evacuate north-2 --reason "new feeds" --yes']],
  });

  dataCentre = Option.String();

  protected async act(): Promise<ExitCode> {
    if (!(await this.confirmed(`send nothing more to upstreams in ${this.dataCentre}?`))) {
      return exitCodes.declined;
    }
    const reply = await this.withApi((api) =>
      api.activateSafeMove('evacuate', this.dataCentre, this.reason),
    );
    this.showMark('evacuated', this.dataCentre, reply);
    return exitCodes.ok;
  }
}

export class DrainCommand extends MarkCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    category: 'Safe moves',
    description: 'Drain a VM of the system or an upstream.',
    details: `A drained VM's daemon finishes its requests and leaves; its URL must be among those of
      the context, for only the daemon itself can stop. A drained upstream gets no new work until
      its drain is lifted.`,
    examples: [
      ['A VM before its replacement', '$0 drain entry-3 --yes'],
      ['An upstream', '$0 drain engine-7 --type upstream'],
    ],
  });

  target = Option.String();

  type = Option.String('--type', { description: 'vm or upstream, where the name is both.' });

  protected async act(): Promise<ExitCode> {
    if (!(await this.confirmed(`drain ${this.target}?`))) {
      return exitCodes.declined;
    }
    const reply = await this.withApi((api) => api.drain(this.target, this.type, this.reason));
    this.show(reply, () => `${reply.type} ${reply.target} is draining\n`);
    return exitCodes.ok;
  }
}

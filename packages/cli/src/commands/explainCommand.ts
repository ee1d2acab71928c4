/** `snipectl explain`: docs of kinds and fields. */
import { Command, Option } from 'clipanion';
import type { FieldDoc } from '../api/schemas.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { formatFields } from '../output/formatStatus.js';
import { SnipectlCommand } from './snipectlCommand.js';

const SPEC_PREFIX = 'spec';

/** The path as the docs write it, whether the operator wrote `spec.` or not. */
const toFieldPath = (path: string): string =>
  path === SPEC_PREFIX || path.startsWith(`${SPEC_PREFIX}.`) ? path : `${SPEC_PREFIX}.${path}`;

const isUnder = ({ path }: FieldDoc, parent: string): boolean =>
  path === parent || path.startsWith(`${parent}.`) || path.startsWith(`${parent}[]`);

export class ExplainCommand extends SnipectlCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Explain the fields of a kind.',
    examples: [
      ['A kind', '$0 explain Team'],
      ['A field and what is below it', '$0 explain Team.limits'],
    ],
  });

  subject = Option.String({ name: 'KIND[.field]' });

  protected async act(): Promise<ExitCode> {
    const [kind = '', ...rest] = this.subject.split('.');
    const reply = await this.withApi((api) => api.explain(kind));
    const path = rest.length === 0 ? SPEC_PREFIX : toFieldPath(rest.join('.'));
    const fields = reply.fields.filter((field) => isUnder(field, path));
    if (fields.length === 0) {
      throw new InvalidInputError(`${kind} has no field ${path}`);
    }
    this.show({ kind: reply.kind, fields }, () => formatFields(fields));
    return exitCodes.ok;
  }
}

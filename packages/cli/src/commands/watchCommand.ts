/** `snipectl watch`: follows changes and safe moves. */
import { Command, Option } from 'clipanion';
import { toKindName, type OperatorApi } from '../api/operatorApi.js';
import { watchChanges, type WatchEvent } from '../api/watchChanges.js';
import { InvalidInputError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { toPrintable } from '../output/formatTable.js';
import { SnipectlCommand } from './snipectlCommand.js';

type LineFormatter<Type extends WatchEvent['type']> = (
  event: Extract<WatchEvent, { type: Type }>,
) => string;

const formatters: { readonly [Type in WatchEvent['type']]: LineFormatter<Type> } = {
  change: ({ revision, kind, name, resource }) =>
    `${revision} ${kind} ${name} ${resource === undefined ? 'deleted' : `generation ${resource.metadata.generation}`}`,
  safeMove: ({ move }) =>
    `mark ${move.key} ${move.isActive ? 'active' : 'lifted'}, generation ${move.generation}, by ${move.by}`,
  bookmark: () => '',
  historyGone: ({ revision }) =>
    `changes after revision ${revision} are gone: list again; going on from the present`,
};

const formatLine = (event: WatchEvent): string => {
  const format = formatters[event.type] as LineFormatter<WatchEvent['type']>;
  return toPrintable(format(event));
};

const readCount = (text: string | undefined, name: string): number | undefined => {
  const count = text === undefined ? undefined : Number(text);
  if (count !== undefined && !(Number.isSafeInteger(count) && count >= 0)) {
    throw new InvalidInputError(`${name} must be a whole number`);
  }
  return count;
};

export class WatchCommand extends SnipectlCommand {
  static override paths = [['watch']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Follow changes; goes on over broken connections without a gap.',
    examples: [
      ['Everything from now on', '$0 watch'],
      ['Teams after a revision', '$0 watch Team --after 120'],
    ],
  });

  kind = Option.String({ required: false });

  after = Option.String('--after', { description: 'Revision to begin after; now by default.' });

  count = Option.String('--count', { description: 'End after so many changes.' });

  readonly #end = new AbortController();

  protected async act(): Promise<ExitCode> {
    const after = readCount(this.after, '--after');
    const limit = readCount(this.count, '--count') ?? Infinity;
    const stop = (): void => this.#end.abort();
    process.once('SIGINT', stop);
    try {
      await this.withApi((api) => this.follow(api, after, limit));
      return exitCodes.ok;
    } finally {
      process.off('SIGINT', stop);
    }
  }

  private async follow(api: OperatorApi, after: number | undefined, limit: number): Promise<void> {
    let shown = 0;
    let revision = after;
    while (shown < limit && !this.#end.signal.aborted) {
      const afterRevision = revision ?? (await api.getStatus()).revision;
      const kind = this.kind === undefined ? undefined : toKindName(this.kind);
      const query = { afterRevision, kind, signal: this.#end.signal };
      for await (const event of watchChanges(api.caller, query)) {
        shown += this.showEvent(event);
        if (shown >= limit) {
          break;
        }
      }
      revision = undefined;
    }
  }

  /** Shows an event; 1 where it counts as a change. */
  private showEvent(event: WatchEvent): number {
    if (event.type === 'historyGone') {
      this.warn(formatLine(event));
    }
    if (event.type === 'bookmark' || event.type === 'historyGone') {
      return 0;
    }
    this.write(this.isJson ? `${JSON.stringify(event)}\n` : `${formatLine(event)}\n`);
    return event.type === 'change' ? 1 : 0;
  }
}

/** `snipectl completion`: a completion script for bash. */
import { Command } from 'clipanion';
import { kinds } from '@snipehaven/resources';
import { BINARY_NAME } from '../constants.js';
import type { SnipectlContext } from '../types.js';

const OPTION_PATTERN = /--[a-z-]+/g;

// The shell expands these, not the program.
/* eslint-disable no-template-curly-in-string */
const TYPED_WORDS = '${COMP_WORDS[*]:1:COMP_CWORD-1}';
const PRESENT_WORD = '${COMP_WORDS[COMP_CWORD]}';
/* eslint-enable no-template-curly-in-string */

interface CommandWords {
  /** Such as `rollout status`. */
  readonly path: string;
  readonly options: readonly string[];
}

const toCase = ({ path, options }: CommandWords): string =>
  `    "${path}"*) words="${[...options, ...kinds].join(' ')}" ;;`;

const listFirstWords = (commands: readonly CommandWords[]): readonly string[] => [
  ...new Set(commands.map(({ path }) => path.split(' ')[0] ?? '')),
];

const listSecondWords = (commands: readonly CommandWords[], first: string): readonly string[] =>
  commands
    .map(({ path }) => path.split(' '))
    .filter((words) => words[0] === first && words[1] !== undefined)
    .map((words) => words[1] ?? '');

const toGroupCase = (commands: readonly CommandWords[], first: string): readonly string[] => {
  const words = listSecondWords(commands, first);
  return words.length === 0 ? [] : [`    "${first} ") words="${words.join(' ')}" ;;`];
};

/** The script: longer paths stand first, for the first match wins. */
const buildScript = (commands: readonly CommandWords[]): string => {
  const firstWords = listFirstWords(commands);
  const sorted = [...commands].sort((a, b) => b.path.length - a.path.length);
  return [
    `_${BINARY_NAME}() {`,
    `  local words line="${TYPED_WORDS} "`,
    '  case "$line" in',
    `    " ") words="${firstWords.join(' ')}" ;;`,
    ...firstWords.flatMap((first) => toGroupCase(commands, first)),
    ...sorted.map(toCase),
    '    *) words="" ;;',
    '  esac',
    `  COMPREPLY=($(compgen -W "$words" -- "${PRESENT_WORD}"))`,
    '}',
    `complete -o default -F _${BINARY_NAME} ${BINARY_NAME}`,
    '',
  ].join('\n');
};

export class CompletionCommand extends Command<SnipectlContext> {
  static override paths = [['completion', 'bash']];

  static override usage = Command.Usage({
    category: 'System',
    description: 'Print a completion script for bash.',
    examples: [['For this shell', 'source <($0 completion bash)']],
  });

  async execute(): Promise<void> {
    const commands = this.cli.definitions().map(({ path, usage, options }) => ({
      path: path
        .slice(BINARY_NAME.length)
        .trim()
        .replace(/ [<[].*$/, ''),
      options:
        [usage, ...options.map(({ definition }) => definition)].join(' ').match(OPTION_PATTERN) ??
        [],
    }));
    this.context.stdout.write(buildScript(commands));
  }
}

/** What all commands share: the choice of daemons, the form of the output, exit codes. */
import { Command, Option } from 'clipanion';
import { getErrorMessage } from '@snipehaven/common';
import { OperatorApi } from '../api/operatorApi.js';
import { selectEndpoint, type EndpointChoice } from '../contexts/selectEndpoint.js';
import { ApiCallError, InvalidInputError, SnipectlError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { createColours, isTerminal, type Colours } from '../output/colours.js';
import { formatDifferences } from '../output/formatResources.js';
import type { SnipectlContext } from '../types.js';

const outputForms = ['table', 'json'] as const;

type OutputForm = (typeof outputForms)[number];

const describeError = (error: unknown): string => {
  if (!(error instanceof ApiCallError)) {
    return getErrorMessage(error);
  }
  const issues = (error.body.issues ?? []).map(({ path, rule }) => `  ${path}: ${rule}\n`).join('');
  const differences = formatDifferences(error.body.differences ?? []);
  return `${error.code}: ${error.message}\n${issues}${differences}`.trimEnd();
};

export abstract class SnipectlCommand extends Command<SnipectlContext> {
  contextName = Option.String('--context', { description: 'Context of the contexts file.' });

  contextsPath = Option.String('--contexts-file', { description: 'Path of the contexts file.' });

  urls = Option.Array('--url', { description: 'URL of a daemon; may be repeated.' });

  output = Option.String('-o,--output', 'table', { description: 'table or json.' });

  /** Does the command's work. */
  protected abstract act(): Promise<ExitCode>;

  /** Runs the command; a known fault ends it with its exit code and a line on stderr. */
  async execute(): Promise<ExitCode> {
    try {
      this.requireOutputForm();
      return await this.act();
    } catch (error) {
      const { bad } = this.colours;
      this.context.stderr.write(`${bad('error')}: ${describeError(error)}\n`);
      return error instanceof SnipectlError ? error.exitCode : exitCodes.usage;
    }
  }

  protected get isTerminal(): boolean {
    return isTerminal(this.context.stdout);
  }

  protected get colours(): Colours {
    return createColours(this.isTerminal, this.context.env.NO_COLOR);
  }

  protected get isJson(): boolean {
    return this.output === 'json';
  }

  protected get endpointChoice(): EndpointChoice {
    return { urls: this.urls, contextName: this.contextName, contextsPath: this.contextsPath };
  }

  protected write(text: string): void {
    this.context.stdout.write(text);
  }

  protected warn(text: string): void {
    this.context.stderr.write(`${this.colours.warn('warning')}: ${text}\n`);
  }

  /** Writes the value as JSON where asked, else the text. */
  protected show(value: unknown, formatText: () => string): void {
    this.write(this.isJson ? `${JSON.stringify(value, null, 2)}\n` : formatText());
  }

  /** Calls with the API of the chosen daemons, and closes its connections. */
  protected async withApi<Result>(use: (api: OperatorApi) => Promise<Result>): Promise<Result> {
    const api = new OperatorApi(await selectEndpoint(this.endpointChoice, this.context.env));
    try {
      return await use(api);
    } finally {
      await api.close();
    }
  }

  private requireOutputForm(): void {
    if (!outputForms.includes(this.output as OutputForm)) {
      throw new InvalidInputError(`no output ${this.output}; there are ${outputForms.join(', ')}`);
    }
  }
}

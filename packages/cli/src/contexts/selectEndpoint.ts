/** Decides which daemons a command talks to, and with which token. */
import { access } from 'node:fs/promises';
import { join } from 'node:path';
import {
  CONTEXTS_VARIABLE,
  DEFAULT_CONTEXTS_PATH,
  TOKEN_VARIABLE,
  URL_VARIABLE,
} from '../constants.js';
import { InvalidInputError } from '../errors.js';
import {
  readText,
  restoreContextsFile,
  type ContextEntry,
  type ContextsFile,
} from './contextsFile.js';

export type Environment = Readonly<Record<string, string | undefined>>;

/** Daemons of one context, tried in order, and the token for them. */
export interface Endpoint {
  readonly name: string;
  readonly urls: readonly string[];
  readonly token: string;
}

/** What the operator chose on the command line. */
export interface EndpointChoice {
  readonly urls?: readonly string[] | undefined;
  readonly contextName?: string | undefined;
  readonly contextsPath?: string | undefined;
}

const isReadable = (path: string): Promise<boolean> =>
  access(path).then(
    () => true,
    () => false,
  );

const findContextsPath = async (
  choice: EndpointChoice,
  env: Environment,
): Promise<string | undefined> => {
  const named = choice.contextsPath ?? env[CONTEXTS_VARIABLE];
  if (named !== undefined) {
    return named;
  }
  const path = join(env.HOME ?? '.', DEFAULT_CONTEXTS_PATH);
  return (await isReadable(path)) ? path : undefined;
};

/** The contexts file in use; throws where there is none. */
export const loadContexts = async (
  choice: EndpointChoice,
  env: Environment,
): Promise<ContextsFile> => {
  const path = await findContextsPath(choice, env);
  if (path === undefined) {
    throw new InvalidInputError(`no contexts file: give --url, ${URL_VARIABLE} or --contexts-file`);
  }
  return restoreContextsFile(await readText(path), path);
};

const readToken = async (entry: ContextEntry, env: Environment): Promise<string> => {
  if (entry.tokenFile !== undefined) {
    return (await readText(entry.tokenFile)).trim();
  }
  return env[entry.tokenEnv ?? TOKEN_VARIABLE] ?? '';
};

const toEndpoint = async (
  name: string,
  entry: ContextEntry,
  env: Environment,
): Promise<Endpoint> => ({ name, urls: entry.urls, token: await readToken(entry, env) });

const getDirectUrls = (choice: EndpointChoice, env: Environment): readonly string[] => {
  if (choice.urls !== undefined && choice.urls.length > 0) {
    return choice.urls;
  }
  const variable = env[URL_VARIABLE];
  return variable === undefined || choice.contextName !== undefined ? [] : variable.split(',');
};

const requireUrls = (urls: readonly string[]): void => {
  const wrong = urls.find((url) => !URL.canParse(url));
  if (wrong !== undefined) {
    throw new InvalidInputError(`not a URL: ${wrong}`);
  }
};

const selectContext = async (choice: EndpointChoice, env: Environment): Promise<Endpoint> => {
  const file = await loadContexts(choice, env);
  const name = choice.contextName ?? file.current ?? Object.keys(file.contexts)[0] ?? '';
  const entry = Object.hasOwn(file.contexts, name) ? file.contexts[name] : undefined;
  if (entry === undefined) {
    const known = Object.keys(file.contexts).join(', ');
    throw new InvalidInputError(`no context ${name}; there are ${known}`);
  }
  return toEndpoint(name, entry, env);
};

/** The daemons to talk to: by `--url`, then the environment, then the contexts file. */
export const selectEndpoint = async (
  choice: EndpointChoice,
  env: Environment,
): Promise<Endpoint> => {
  const urls = getDirectUrls(choice, env);
  requireUrls(urls);
  if (urls.length > 0) {
    return { name: 'direct', urls, token: env[TOKEN_VARIABLE] ?? '' };
  }
  return selectContext(choice, env);
};

/** All contexts of the file, for commands that ask every data centre. */
export const selectAllEndpoints = async (
  choice: EndpointChoice,
  env: Environment,
): Promise<readonly Endpoint[]> => {
  const file = await loadContexts(choice, env);
  const entries = Object.entries(file.contexts);
  return Promise.all(entries.map(([name, entry]) => toEndpoint(name, entry, env)));
};

/** Runs snipectl in this process. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Readable, Writable } from 'node:stream';
import { checkDaemonSettings } from '../checkDaemonSettings.js';
import { runSnipectl } from '../runSnipectl.js';
import { startFakeApi, type FakeApi } from './fakeApi.js';

export interface CliRun {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

export interface CliOptions {
  readonly stdin?: string;
  readonly env?: Readonly<Record<string, string>>;
  readonly isTerminal?: boolean;
}

/** A stream that keeps what is written. */
class TextSink extends Writable {
  text = '';

  readonly isTTY: boolean;

  constructor(isTerminal: boolean) {
    super();
    this.isTTY = isTerminal;
  }

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString();
    done();
  }
}

/** Runs one command line against the URLs. */
export const runCli = async (
  urls: readonly string[],
  args: readonly string[],
  { stdin = '', env = {}, isTerminal = false }: CliOptions = {},
): Promise<CliRun> => {
  const stdout = new TextSink(isTerminal);
  const stderr = new TextSink(isTerminal);
  const exitCode = await runSnipectl(args, {
    env: { SNIPECTL_URL: urls.join(','), SNIPECTL_TOKEN: 'secret', HOME: '/nonexistent', ...env },
    stdin: Readable.from([stdin]),
    stdout,
    stderr,
    colorDepth: 8,
    checkSettings: checkDaemonSettings,
  });
  return { exitCode, stdout: stdout.text, stderr: stderr.text };
};

/** What a test of a command works with. */
export interface CliTest {
  readonly api: FakeApi;
  /** Runs a command line against the fake API. */
  readonly run: (args: readonly string[], options?: CliOptions) => Promise<CliRun>;
  /** Writes a file into the test's own folder, and returns its path. */
  readonly write: (name: string, content: string) => Promise<string>;
}

/** A test with a fake API and a folder of its own. */
export const withCli =
  (use: (test: CliTest) => Promise<void>): (() => Promise<void>) =>
  async () => {
    const api = await startFakeApi();
    const folder = await mkdtemp(join(tmpdir(), 'snipectl-'));
    const write = async (name: string, content: string): Promise<string> => {
      const path = join(folder, name);
      await writeFile(path, content);
      return path;
    };
    try {
      await use({ api, write, run: (args, options) => runCli([api.url], args, options) });
    } finally {
      await api.close();
      await rm(folder, { recursive: true });
    }
  };

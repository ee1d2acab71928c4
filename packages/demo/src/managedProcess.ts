/** A process of the demo: started, listened to, frozen, killed. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

export interface ManagedProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  /** Options of Node itself, such as `--cpu-prof`. */
  readonly nodeArgs?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Names of the variables that it inherits; all if absent. */
  readonly inheritedVariables?: readonly string[];
  /** Everything the process prints goes here too. */
  readonly logFile: string;
}

export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const inheritVariables = (names: readonly string[] = Object.keys(process.env)): NodeJS.ProcessEnv =>
  Object.fromEntries(names.map((name) => [name, process.env[name]]));

export class ManagedProcess {
  readonly name: string;

  readonly #child: ChildProcess;

  readonly #exit: Promise<ExitStatus>;

  readonly #firstLine: Promise<string>;

  #hasExited = false;

  constructor(options: ManagedProcessOptions) {
    this.name = options.name;
    this.#child = spawn(
      process.execPath,
      [...(options.nodeArgs ?? []), options.script, ...options.args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { ...inheritVariables(options.inheritedVariables), ...options.env },
      },
    );
    const log = createWriteStream(options.logFile, { flags: 'a' });
    this.#child.stdout?.pipe(log, { end: false });
    this.#child.stderr?.pipe(log, { end: false });
    this.#exit = new Promise((resolve) => {
      this.#child.once('exit', (code, signal) => {
        this.#hasExited = true;
        resolve({ code, signal });
      });
    });
    this.#firstLine = this.#readFirstLine(options.logFile);
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get isRunning(): boolean {
    return !this.#hasExited;
  }

  /** The first line of its standard output; rejects when it ends before. */
  get firstLine(): Promise<string> {
    return this.#firstLine;
  }

  /** Sends a signal to this very process. */
  signal(signal: NodeJS.Signals): void {
    if (!this.#hasExited) {
      this.#child.kill(signal);
    }
  }

  waitForExit(): Promise<ExitStatus> {
    return this.#exit;
  }

  /** Ends it gracefully, and by force after a while. */
  async stop(graceMs: number): Promise<ExitStatus> {
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMs);
    const status = await this.#exit;
    clearTimeout(timer);
    return status;
  }

  async #readFirstLine(logFile: string): Promise<string> {
    const lines = createInterface({ input: this.#child.stdout as NodeJS.ReadableStream });
    const line = new Promise<string>((resolve) => {
      lines.once('line', resolve);
    });
    const ended = this.#exit.then(({ code }): never => {
      throw new Error(`${this.name} ended with ${code}; see ${logFile}`);
    });
    ended.catch(() => undefined);
    return Promise.race([line, ended]);
  }
}

/** Watches every daemon's resources, to know when a revision is in force at all of them. */
import { setMaxListeners } from 'node:events';
import { createInterface } from 'node:readline';
import { demoSecrets, type RunningDaemon } from '@snipehaven/demo';
import { request } from 'undici';

interface WatchedLine {
  readonly type: string;
  readonly revision: number;
}

export class RevisionWatch {
  readonly #daemons: readonly RunningDaemon[];

  readonly #stopping = new AbortController();

  /** How many daemons have applied a revision, and when the last one did. */
  readonly #applied = new Map<number, { count: number; lastAtMs: number }>();

  constructor(daemons: readonly RunningDaemon[]) {
    this.#daemons = daemons;
    setMaxListeners(daemons.length, this.#stopping.signal);
  }

  async start(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => this.#watch(daemon)));
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** When the last daemon applied the revision; undefined: not all have. */
  getInForceAtMs(revision: number): number | undefined {
    const applied = this.#applied.get(revision);
    return applied?.count === this.#daemons.length ? applied.lastAtMs : undefined;
  }

  async #watch({ operatorsUrl }: RunningDaemon): Promise<void> {
    const answer = await request(`${operatorsUrl}/api/watch`, {
      headers: { authorization: `Bearer ${demoSecrets.operatorToken}` },
      signal: this.#stopping.signal,
    });
    answer.body.on('error', () => undefined);
    const lines = createInterface({ input: answer.body });
    lines.on('line', (text) => this.#note(JSON.parse(text) as WatchedLine));
    lines.on('error', () => undefined);
  }

  #note({ type, revision }: WatchedLine): void {
    if (type !== 'change') {
      return;
    }
    const count = (this.#applied.get(revision)?.count ?? 0) + 1;
    this.#applied.set(revision, { count, lastAtMs: performance.now() });
  }
}

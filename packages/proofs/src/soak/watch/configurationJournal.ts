/** What operators wrote and were told, to compare with what is in force at the end. */
import { callOperatorApi, type RunningDaemon } from '@snipehaven/demo';
import type { SoakFacts } from '../soakFacts.js';

/** A resource that the run writes over and over; routing does not depend on it. */
export const PROBE_KIND = 'Model';

const WRITE_TIMEOUT_MS = 10_000;
const READ_TIMEOUT_MS = 2_000;
const CONFLICT = 409;

interface StoredResource {
  readonly metadata: { readonly resourceVersion: number };
  readonly spec: { readonly description: string };
}

interface AppliedBody {
  readonly resource: StoredResource;
}

export type WriteEnd =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'conflict' }
  /** Refused, or no answer: it may have taken effect. */
  | { readonly kind: 'unknown' };

interface JournalledWrite {
  readonly name: string;
  readonly description: string;
  readonly base: number;
  readonly end: WriteEnd;
}

const pathOf = (name: string): string => `/api/resources/${PROBE_KIND}/${name}`;

/** The resource as the daemon has it; undefined where it has none or does not answer. */
export const readProbe = async (
  daemon: RunningDaemon,
  name: string,
): Promise<StoredResource | undefined> => {
  const answer = await callOperatorApi(
    daemon.operatorsUrl,
    'GET',
    pathOf(name),
    undefined,
    READ_TIMEOUT_MS,
  ).catch(() => undefined);
  return answer?.status === 200 ? (answer.body as StoredResource) : undefined;
};

const put = async (
  daemon: RunningDaemon,
  name: string,
  description: string,
  base: number,
): Promise<WriteEnd> => {
  const metadata = base === 0 ? { name } : { name, resourceVersion: base };
  const manifest = { kind: PROBE_KIND, metadata, spec: { description } };
  const answer = await callOperatorApi(
    daemon.operatorsUrl,
    'PUT',
    pathOf(name),
    manifest,
    WRITE_TIMEOUT_MS,
  ).catch(() => undefined);
  if (answer !== undefined && answer.status < 300) {
    const { resource } = answer.body as AppliedBody;
    return { kind: 'accepted', revision: resource.metadata.resourceVersion };
  }
  return { kind: answer?.status === CONFLICT ? 'conflict' : 'unknown' };
};

export class ConfigurationJournal {
  readonly #facts: SoakFacts;

  readonly #writes: JournalledWrite[] = [];

  #count = 0;

  constructor(facts: SoakFacts) {
    this.#facts = facts;
  }

  /** Writes the probe through a daemon, against the version that the daemon has now. */
  async write(daemon: RunningDaemon, name: string): Promise<WriteEnd> {
    const present = await readProbe(daemon, name);
    return this.#write(daemon, name, present?.metadata.resourceVersion ?? 0);
  }

  /** Operators write against the same version at the same moment: one of them at most may win. */
  async race(daemons: readonly RunningDaemon[], name: string): Promise<void> {
    const first = daemons[0] as RunningDaemon;
    const base = (await readProbe(first, name))?.metadata.resourceVersion;
    if (base === undefined) {
      return;
    }
    const ends = await Promise.all(daemons.map((daemon) => this.#write(daemon, name, base)));
    const winners = ends.filter(({ kind }) => kind === 'accepted');
    if (winners.length > 1) {
      this.#facts.configReverts.push(`${name}: ${winners.length} writes won over version ${base}`);
    }
  }

  /** Compares what each daemon has at the end with what was accepted. */
  async checkFinal(daemons: readonly RunningDaemon[]): Promise<void> {
    const names = [...new Set(this.#writes.map(({ name }) => name))];
    for (const name of names) {
      await Promise.all(daemons.map((daemon) => this.#checkAt(daemon, name)));
    }
  }

  async #write(daemon: RunningDaemon, name: string, base: number): Promise<WriteEnd> {
    this.#count += 1;
    const description = `write ${this.#count}`;
    const end = await put(daemon, name, description, base);
    this.#writes.push({ name, description, base, end });
    return end;
  }

  async #checkAt(daemon: RunningDaemon, name: string): Promise<void> {
    const present = await readProbe(daemon, name);
    const problem = this.#judge(name, present);
    if (problem !== undefined) {
      this.#facts.configReverts.push(`${daemon.vm.name}: ${name} ${problem}`);
    }
  }

  #judge(name: string, present: StoredResource | undefined): string | undefined {
    const writes = this.#writes.filter((write) => write.name === name);
    const accepted = writes.flatMap(({ end, description }) =>
      end.kind === 'accepted' ? [{ revision: end.revision, description }] : [],
    );
    const last = accepted.sort((a, b) => b.revision - a.revision)[0];
    if (last === undefined) {
      return undefined;
    }
    if (present === undefined) {
      return `is gone, accepted at ${last.revision}`;
    }
    const { resourceVersion } = present.metadata;
    const { description } = present.spec;
    if (resourceVersion < last.revision) {
      return `is at ${resourceVersion}, accepted at ${last.revision}`;
    }
    const isUnknown = writes.some(
      (write) => write.end.kind === 'unknown' && write.description === description,
    );
    const isLast = resourceVersion === last.revision && description === last.description;
    return isLast || (isUnknown && resourceVersion > last.revision)
      ? undefined
      : `holds "${description}" at ${resourceVersion}, accepted "${last.description}"`;
  }
}

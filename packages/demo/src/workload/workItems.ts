/** The requests of a run, drawn from a seed. */
import { createRandom, pickRandom, type Random } from '@snipehaven/common';
import { textMakers, type TextKind } from './texts.js';

/** How a request travels. */
export type Transport = 'chat' | 'chatStream' | 'service';

/** One request as a caller means it; retries keep all of it. */
export interface WorkItem {
  readonly index: number;
  readonly team: string;
  readonly transport: Transport;
  /** What the caller asks for; `auto` where it is left out. */
  readonly model?: string;
  readonly task: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isIdempotent: boolean;
  /** Idempotency key, the same for all retries. */
  readonly key: string;
  /** Requests of one conversation, sent one after the other. */
  readonly session?: string;
  /** Whether the session goes by the caller's own id instead of the token. */
  readonly hasOwnSessionId: boolean;
  readonly service?: ServiceTarget;
}

export interface ServiceTarget {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
}

interface ItemKind {
  readonly team: string;
  readonly task: string;
  readonly text: TextKind;
  readonly weight: number;
  readonly transports: readonly Transport[];
  readonly maxTokens: number;
  readonly isIdempotent: boolean;
  readonly sessionShare: number;
  readonly service?: ServiceTarget;
}

const filing: ServiceTarget = { service: 'portal', method: 'POST', path: '/filings' };
const ticketTag: ServiceTarget = { service: 'tracker', method: 'POST', path: '/tags' };
const status: ServiceTarget = { service: 'portal', method: 'GET', path: '/licences/88-231' };

const chat = { isIdempotent: true, sessionShare: 0, maxTokens: 60 } as const;
const both: readonly Transport[] = ['chat', 'chatStream'];

const kinds: readonly ItemKind[] = [
  {
    ...chat,
    team: 'studio-north',
    task: 'summary',
    text: 'crashThread',
    weight: 4,
    transports: both,
  },
  {
    ...chat,
    team: 'studio-north',
    task: 'triage',
    text: 'triage',
    weight: 3,
    transports: both,
    sessionShare: 0.6,
  },
  {
    ...chat,
    team: 'studio-south',
    task: 'tag',
    text: 'tag',
    weight: 3,
    transports: ['chat'],
    maxTokens: 12,
    isIdempotent: false,
  },
  {
    ...chat,
    team: 'studio-south',
    task: 'summary',
    text: 'crashThread',
    weight: 2,
    transports: both,
  },
  { ...chat, team: 'district', task: 'review', text: 'permit', weight: 3, transports: both },
  {
    ...chat,
    team: 'ranch',
    task: 'well-log',
    text: 'wellLog',
    weight: 2,
    transports: both,
    sessionShare: 0.5,
  },
  {
    ...chat,
    team: 'ranch',
    task: 'status',
    text: 'lookup',
    weight: 2,
    transports: ['chat'],
    maxTokens: 16,
  },
  {
    ...chat,
    team: 'district',
    task: 'filing',
    text: 'permit',
    weight: 2,
    transports: ['service'],
    isIdempotent: false,
    service: filing,
  },
  {
    ...chat,
    team: 'studio-north',
    task: 'tag',
    text: 'tag',
    weight: 2,
    transports: ['service'],
    isIdempotent: false,
    service: ticketTag,
  },
  {
    ...chat,
    team: 'ranch',
    task: 'status',
    text: 'lookup',
    weight: 2,
    transports: ['service'],
    service: status,
  },
];

const SESSION_TURNS = 4;

const drawKind = (random: Random): ItemKind => {
  const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let left = random.next() * total;
  const found = kinds.find((kind) => {
    left -= kind.weight;
    return left < 0;
  });
  return found ?? (kinds[0] as ItemKind);
};

const createItem = (
  kind: ItemKind,
  index: number,
  random: Random,
  seed: number,
  session: string | undefined,
): WorkItem => ({
  index,
  team: kind.team,
  transport: pickRandom(kind.transports, random) ?? 'chat',
  task: kind.task,
  prompt: `${textMakers[kind.text](random)}\n[request ${seed}-${index}]`,
  maxTokens: kind.maxTokens,
  isIdempotent: kind.isIdempotent,
  key: `key-${seed}-${index}`,
  hasOwnSessionId: session !== undefined && session.endsWith('own'),
  ...(session === undefined ? {} : { session }),
  ...(kind.service === undefined ? {} : { service: kind.service }),
});

/**
 * Conversations: each inner list is sent one request after the other, the lists side by side. About
 * `count` requests in all.
 */
export const createWorkload = (seed: number, count: number): readonly (readonly WorkItem[])[] => {
  const random = createRandom(seed);
  const conversations: (readonly WorkItem[])[] = [];
  let index = 0;
  while (index < count) {
    const kind = drawKind(random);
    const isSession = random.next() < kind.sessionShare;
    const suffix = random.next() < 0.5 ? 'own' : 'token';
    const session = isSession ? `session-${seed}-${index}-${suffix}` : undefined;
    const turns = isSession ? 2 + random.nextInt(SESSION_TURNS) : 1;
    const first = index;
    const items = Array.from({ length: turns }, (_, turn) =>
      createItem(kind, first + turn, random, seed, session),
    );
    conversations.push(items);
    index += turns;
  }
  return conversations;
};

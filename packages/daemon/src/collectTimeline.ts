/** Gathers the events of all daemons, and what they tell of one request. */
import type { LedgerReader } from '@snipehaven/ledger';
import type { MembershipView } from '@snipehaven/membership';
import type { PeerTransport } from '@snipehaven/protocol';
import {
  mergeTimelines,
  type EventType,
  type Timeline,
  type TimelineEvent,
  type TimelineQuery,
} from '@snipehaven/timeline';
import type {
  AttemptDescription,
  CollectedTimeline,
  RequestDescription,
} from './operatorApi/index.js';

export interface CollectorOptions {
  readonly membership: MembershipView;
  readonly transport: PeerTransport;
  readonly timeline: Timeline;
  readonly ledger: LedgerReader;
}

interface Collected {
  readonly vm: string;
  readonly events: readonly TimelineEvent[] | undefined;
}

const verdictByEvent: Partial<Record<EventType, RequestDescription['verdict']>> = {
  answerFinished: 'answered',
  answerCut: 'cut',
};

/** What an attempt can come to; its other events are steps on the way. */
const attemptOutcomes: ReadonlySet<EventType> = new Set([
  'attemptSilent',
  'attemptResumed',
  'attemptFailed',
  'attemptEscalated',
  'answerFinished',
  'answerCut',
]);

/** Attempts of one request follow each other: what comes before the next one belongs to this one. */
const describeAttempts = (events: readonly TimelineEvent[]): readonly AttemptDescription[] => {
  const starts = events.flatMap((event, index) => (event.type === 'attemptStarted' ? [index] : []));
  return starts.map((start, place) => {
    const own = events.slice(start, starts[place + 1]);
    const [started] = own as [TimelineEvent];
    const last = own.findLast((event) => attemptOutcomes.has(event.type)) ?? started;
    const { version = '', upstream = '' } = started.subject;
    return { version, upstream, startedAtMs: started.at.wallMs, outcome: last.type };
  });
};

const describeVerdict = (events: readonly TimelineEvent[]): RequestDescription['verdict'] => {
  const refused = events.findLast((event) => event.type === 'requestRefused');
  if (refused) {
    return refused.detail.verdict as RequestDescription['verdict'];
  }
  const ended = events.findLast((event) => verdictByEvent[event.type] !== undefined);
  return (ended && verdictByEvent[ended.type]) ?? 'running';
};

export class TimelineCollector {
  readonly #options: CollectorOptions;

  constructor(options: CollectorOptions) {
    this.#options = options;
  }

  /** Events of all daemons that answer, in causal order. */
  async collect(query: TimelineQuery): Promise<CollectedTimeline> {
    const { membership, timeline } = this.#options;
    const { self } = membership;
    const peers = membership
      .listAlive()
      .filter((member) => member.incarnation !== self.incarnation);
    const remote = await Promise.all(peers.map((peer) => this.#ask(peer, query)));
    const unreachable = remote.filter((answer) => answer.events === undefined);
    return {
      events: mergeTimelines([timeline.list(query), ...remote.map(({ events }) => events ?? [])]),
      unreachable: unreachable.map(({ vm }) => vm),
    };
  }

  /** What is known of one request; undefined when no daemon remembers it. */
  async getRequest(requestId: string): Promise<RequestDescription | undefined> {
    const { events, unreachable } = await this.collect({ requestId });
    const entries = await this.#options.ledger.listEntries({}).catch(() => []);
    const bill = entries.find((entry) => entry.requestId === requestId);
    if (events.length === 0 && bill === undefined) {
      return undefined;
    }
    const planned = events.find((event) => event.type === 'requestPlanned');
    const team = events.find((event) => event.subject.team)?.subject.team ?? bill?.team ?? '';
    return {
      requestId,
      team,
      vms: [...new Set(events.map((event) => event.vm))],
      plan: planned ? `${planned.detail.versions} (${planned.detail.reason})` : '',
      attempts: describeAttempts(events),
      verdict: describeVerdict(events),
      events,
      unreachable,
      ...(bill ? { bill } : {}),
    };
  }

  async #ask(
    peer: { readonly vm: string; readonly address: string },
    query: TimelineQuery,
  ): Promise<Collected> {
    try {
      const handlers = this.#options.transport.getPeer(peer.address);
      const { events } = await handlers.timeline.listEvents(query);
      return { vm: peer.vm, events };
    } catch {
      return { vm: peer.vm, events: undefined };
    }
  }
}

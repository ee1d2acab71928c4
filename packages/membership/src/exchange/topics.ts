/** Payloads of other subsystems that are sent along with exchanges. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import type { GossipTopic } from '../types.js';

/** Errors of a topic are logged and otherwise ignored, so that they cannot stop membership. */
export class Topics {
  readonly #topics = new Map<string, GossipTopic>();

  readonly #logger: Logger;

  constructor(topics: readonly GossipTopic[], logger: Logger) {
    this.#logger = logger;
    topics.forEach((topic) => this.register(topic));
  }

  register(topic: GossipTopic): void {
    this.#topics.set(topic.name, topic);
  }

  collect(peer: Member): Record<string, unknown> {
    const entries = [...this.#topics.values()]
      .map((topic) => [topic.name, this.#guard(topic, () => topic.getPayload(peer))] as const)
      .filter(([, payload]) => payload !== undefined);
    return Object.fromEntries(entries);
  }

  merge(payloads: Readonly<Record<string, unknown>>, from: Member): void {
    Object.entries(payloads).forEach(([name, payload]) => {
      const topic = this.#topics.get(name);
      if (topic) {
        this.#guard(topic, () => topic.mergePayload(payload, from));
      }
    });
  }

  #guard(topic: GossipTopic, step: () => unknown): unknown {
    try {
      return step();
    } catch (error) {
      this.#logger.error(
        { topic: topic.name, error: getErrorMessage(error) },
        'gossip topic failed',
      );
      return undefined;
    }
  }
}

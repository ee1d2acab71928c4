/** The request path of one daemon: accepts validated requests and answers each exactly once. */
import { createRetryBudget } from '@snipehaven/policy';
import type { ConfigurationView } from '@snipehaven/resources';
import { ChatExecution } from './chatExecution.js';
import type { RoutingDependencies } from './dependencies.js';
import { isDrainedByOperator } from './isDrainedByOperator.js';
import { ServiceExecution } from './serviceExecution.js';
import { ShadowRunner } from './shadowRunner.js';
import { SharedRetryBudget } from './stepRunner.js';
import { TeamDirectory } from './teamDirectory.js';
import type { AnswerSink, CallerIdentity, ChatRequest, ServiceRequest } from './types.js';

export class RequestRouter {
  readonly #deps: RoutingDependencies;

  readonly #teams = new TeamDirectory();

  readonly #retries = new SharedRetryBudget(createRetryBudget());

  readonly #shadows: ShadowRunner;

  readonly #idleWaiters = new Set<() => void>();

  #requestCount = 0;

  #active = 0;

  constructor(deps: RoutingDependencies) {
    this.#deps = deps;
    this.#shadows = new ShadowRunner(deps);
    this.update(deps.configuration.getView());
    deps.configuration.onChange(() => this.update(deps.configuration.getView()));
    deps.safeMoves.onChange(() => this.#applyDrains());
  }

  /** The number of requests that run or are queued. */
  get active(): number {
    return this.#active;
  }

  /** Applies a new configuration. */
  update(view: ConfigurationView): void {
    this.#teams.update(view);
    this.#deps.registry.update(view);
    this.#applyDrains();
  }

  /** Returns the team that a caller's key belongs to. */
  findCaller(key: string): CallerIdentity | undefined {
    return this.#teams.find(key);
  }

  /** Creates a globally unique request id; the incarnation makes it unique across restarts. */
  createRequestId(): string {
    this.#requestCount += 1;
    return `${this.#deps.incarnation}-${this.#requestCount.toString(36)}`;
  }

  async executeChat(request: ChatRequest, sink: AnswerSink): Promise<void> {
    await this.#track(() =>
      new ChatExecution(this.#deps, request, sink, this.#retries, this.#shadows).execute(),
    );
  }

  async executeService(request: ServiceRequest, sink: AnswerSink): Promise<void> {
    await this.#track(() =>
      new ServiceExecution(this.#deps, request, sink, this.#retries).execute(),
    );
  }

  /** Resolves when no request is in progress. */
  waitUntilIdle(): Promise<void> {
    if (this.#active === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#idleWaiters.add(resolve);
    });
  }

  /** Stops new work for upstreams that operators drain or whose data centre they evacuate. */
  #applyDrains(): void {
    const { registry, safeMoves } = this.#deps;
    registry.list().forEach((upstream) => {
      registry.setLeaving(upstream.id, 'operator', isDrainedByOperator(safeMoves, upstream));
    });
  }

  async #track(execute: () => Promise<void>): Promise<void> {
    this.#active += 1;
    this.#retries.deposit();
    try {
      await execute();
    } finally {
      this.#active -= 1;
      if (this.#active === 0) {
        this.#idleWaiters.forEach((resolve) => resolve());
        this.#idleWaiters.clear();
      }
    }
  }
}

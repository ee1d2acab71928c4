/** One run of a request at an engine: its tokens, events and subscriptions. */
import {
  countTokens,
  getAnswerToken,
  getDefaultCompletionTokens,
  getPromptDigest,
  getPromptFraction,
  getPromptText,
  type VersionFaultKind,
} from './answers.js';
import { MS_PER_SECOND } from './constants.js';
import type {
  EngineRequest,
  StreamAnswer,
  StreamEnd,
  StreamEvent,
  StreamListener,
  StreamState,
  StreamStateKind,
  StreamTruth,
  Unsubscribe,
  VersionFault,
} from './engineTypes.js';

/** How a run will go, settled when it starts. */
export interface RunPlan {
  readonly chunkTokens: number;
  readonly versionFault: VersionFault | undefined;
  /** The share of its tokens after which the run dies. */
  readonly crashAt: number | undefined;
  /** The share of its events after which its first connection breaks. */
  readonly dropAt: number | undefined;
  readonly startedAfterLeavingMs: number | undefined;
}

interface Subscription {
  readonly listener: StreamListener;
  /** The highest event handed over. */
  sentId: number;
  /** The connection breaks after this event. */
  readonly dropAfterId: number;
}

const EMPTY_ANSWER_TOKENS = 1;

/** A run; it makes its events anew from the prompt when asked, so an ended one is small. */
export class StreamRun {
  readonly request: EngineRequest;

  readonly promptText: string;

  readonly promptTokens: number;

  readonly totalTokens: number;

  duplicateStarts = 0;

  /** On the monotonic clock. */
  endedAtMs = 0;

  readonly #plan: RunPlan;

  readonly #promptDigest: string;

  readonly #faultKind: VersionFaultKind | undefined;

  readonly #startedMs = Date.now();

  readonly #subscriptions = new Set<Subscription>();

  readonly #head: string;

  readonly #stepsPerToken: number;

  /** The run dies with this token. */
  readonly #crashAtTokens: number;

  #endedMs: number | undefined;

  #readyAtMs = Infinity;

  #cachedTokens = 0;

  #state: StreamStateKind = 'running';

  #isCrashed = false;

  #steps = 0;

  #producedTokens = 0;

  #deliveredChunks = 0;

  #isDelivered = false;

  #hasDropped = false;

  constructor(request: EngineRequest, plan: RunPlan) {
    this.request = request;
    this.#plan = plan;
    this.promptText = getPromptText(request.messages);
    this.promptTokens = countTokens(this.promptText);
    this.#promptDigest = getPromptDigest(this.promptText);
    const fault = this.#getFault(plan.versionFault);
    this.#faultKind = fault?.kind;
    this.#stepsPerToken = fault?.kind === 'slow' ? fault.slowFactor : 1;
    this.totalTokens = this.#getTotalTokens();
    this.#crashAtTokens = this.#getCrashAtTokens();
    this.#head = this.#createHead();
  }

  get state(): StreamStateKind {
    return this.#state;
  }

  get isCrashed(): boolean {
    return this.#isCrashed;
  }

  /** When its prompt will have been read; on the monotonic clock. */
  get readyAtMs(): number {
    return this.#readyAtMs;
  }

  get cachedTokens(): number {
    return this.#cachedTokens;
  }

  get producedTokens(): number {
    return this.#producedTokens;
  }

  /** KV cache it needs at its end. */
  get kvTokens(): number {
    return this.promptTokens + this.totalTokens;
  }

  /** Enters the batch; its prompt will have been read at the time given. */
  admit(cachedTokens: number, readyAtMs: number): void {
    this.#cachedTokens = cachedTokens;
    this.#readyAtMs = readyAtMs;
  }

  /** Takes part in one step; true when it has ended. */
  step(): boolean {
    this.#steps += 1;
    if (Math.floor(this.#steps / this.#stepsPerToken) <= this.#producedTokens) {
      return false;
    }
    this.#producedTokens += 1;
    if (this.#producedTokens >= this.#crashAtTokens) {
      this.#end('cancelled');
      this.#isCrashed = true;
      return true;
    }
    if (this.#producedTokens >= this.totalTokens) {
      this.#end('finished');
      return true;
    }
    return false;
  }

  /** Ends the run where it stands; `isCrash` when by a fault rather than by an order. */
  cancel(isCrash = false): void {
    if (this.#state === 'running') {
      this.#end('cancelled');
      this.#isCrashed = isCrash;
    }
  }

  /** Hands over the events above the number, now and as they come. */
  subscribe(fromId: number, listener: StreamListener): Unsubscribe {
    const subscription: Subscription = {
      listener,
      sentId: fromId,
      dropAfterId: this.#takeDrop(),
    };
    this.#subscriptions.add(subscription);
    this.#flushTo(subscription);
    return () => this.#subscriptions.delete(subscription);
  }

  /** Hands new events and the end to all subscriptions. */
  flush(): void {
    this.#subscriptions.forEach((subscription) => this.#flushTo(subscription));
  }

  getState(): StreamState {
    return {
      state: this.#state,
      promptTokens: this.promptTokens,
      completionTokens: this.#producedTokens,
      chunks: this.#getLastId(),
    };
  }

  getAnswer(): StreamAnswer {
    return {
      ...this.getState(),
      streamId: this.request.streamId,
      versionId: this.request.versionId,
      text: this.#getText(0, this.#producedTokens),
      cachedTokens: this.#cachedTokens,
      createdMs: this.#startedMs,
    };
  }

  getTruth(): StreamTruth {
    return {
      streamId: this.request.streamId,
      requestKey: this.request.requestKey,
      versionId: this.request.versionId,
      promptDigest: this.#promptDigest,
      promptTokens: this.promptTokens,
      cachedTokens: this.#cachedTokens,
      completionTokens: this.#producedTokens,
      state: this.#state,
      isCrashed: this.#isCrashed,
      startedMs: this.#startedMs,
      endedMs: this.#endedMs,
      startedAfterLeavingMs: this.#plan.startedAfterLeavingMs,
      deliveredChunks: this.#deliveredChunks,
      isDelivered: this.#isDelivered,
      duplicateStarts: this.duplicateStarts,
    };
  }

  #getFault(fault: VersionFault | undefined): VersionFault | undefined {
    return fault && getPromptFraction(this.#promptDigest) < fault.share ? fault : undefined;
  }

  #getTotalTokens(): number {
    if (this.#faultKind === 'empty') {
      return EMPTY_ANSWER_TOKENS;
    }
    return this.request.maxTokens ?? getDefaultCompletionTokens(this.#promptDigest);
  }

  /** Never the last token, unless it is the only one. */
  #getCrashAtTokens(): number {
    const { crashAt } = this.#plan;
    return crashAt === undefined ? Infinity : Math.max(1, Math.floor(crashAt * this.totalTokens));
  }

  #createHead(): string {
    const { streamId, versionId } = this.request;
    const created = Math.floor(this.#startedMs / MS_PER_SECOND);
    return (
      `{"id":${JSON.stringify(streamId)},"object":"chat.completion.chunk",` +
      `"created":${created},"model":${JSON.stringify(versionId)},"choices":[{"index":0,"delta":`
    );
  }

  #end(state: 'finished' | 'cancelled'): void {
    this.#state = state;
    this.#endedMs = Date.now();
    this.endedAtMs = performance.now();
  }

  /** Content events so far and, once finished, the last one with the usage. */
  #getLastId(): number {
    const { chunkTokens } = this.#plan;
    return this.#state === 'finished'
      ? Math.ceil(this.#producedTokens / chunkTokens) + 1
      : Math.floor(this.#producedTokens / chunkTokens);
  }

  #takeDrop(): number {
    if (this.#plan.dropAt === undefined || this.#hasDropped) {
      return Infinity;
    }
    this.#hasDropped = true;
    return Math.floor(this.#plan.dropAt * (this.totalTokens / this.#plan.chunkTokens));
  }

  #flushTo(subscription: Subscription): void {
    const lastId = this.#getLastId();
    const toId = Math.min(lastId, subscription.dropAfterId);
    if (toId > subscription.sentId) {
      const events = this.#getEvents(subscription.sentId, toId);
      // eslint-disable-next-line no-param-reassign
      subscription.sentId = toId;
      this.#deliveredChunks = Math.max(this.#deliveredChunks, toId);
      subscription.listener.onEvents(events);
    }
    const end = this.#getEnd(subscription, lastId);
    if (end && this.#subscriptions.delete(subscription)) {
      this.#isDelivered ||= end === 'done';
      subscription.listener.onEnd(end);
    }
  }

  #getEnd(subscription: Subscription, lastId: number): StreamEnd | undefined {
    if (lastId >= subscription.dropAfterId || this.#isCrashed) {
      return 'broken';
    }
    if (this.#state === 'running') {
      return undefined;
    }
    return this.#state === 'finished' ? 'done' : 'cancelled';
  }

  #getEvents(afterId: number, toId: number): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    for (let id = afterId + 1; id <= toId; id += 1) {
      events.push({ id, data: this.#getData(id) });
    }
    return events;
  }

  #getData(id: number): string {
    const fromToken = (id - 1) * this.#plan.chunkTokens;
    if (fromToken >= this.totalTokens) {
      return `${this.#head}{},"finish_reason":"stop"}],"usage":${this.#getUsage()}}`;
    }
    const text = JSON.stringify(this.#getText(fromToken, fromToken + this.#plan.chunkTokens));
    const role = id === 1 ? '"role":"assistant",' : '';
    return `${this.#head}{${role}"content":${text}},"finish_reason":null}]}`;
  }

  #getText(fromToken: number, toToken: number): string {
    const end = Math.min(toToken, this.totalTokens);
    let text = '';
    for (let index = fromToken; index < end; index += 1) {
      text += getAnswerToken(this.#promptDigest, this.request.versionId, index, this.#faultKind);
    }
    return text;
  }

  #getUsage(): string {
    return JSON.stringify(getUsage(this));
  }
}

/** OpenAI's usage of a run or answer. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** The usage in the last chunk and in a whole answer. */
export function getUsage(run: {
  readonly promptTokens: number;
  readonly producedTokens: number;
  readonly cachedTokens: number;
}): Usage {
  return {
    prompt_tokens: run.promptTokens,
    completion_tokens: run.producedTokens,
    total_tokens: run.promptTokens + run.producedTokens,
    prompt_tokens_details: { cached_tokens: run.cachedTokens },
  };
}

/** What one attempt tells of the version that it runs on: how that answers, and which session it serves. */
import type { AnswerBody, RolloutWork } from '../rollouts/index.js';
import type { UpstreamEntry, UpstreamOutcome } from '../upstreams/index.js';
import type { CallerRequest } from './callerRequest.js';
import { ALIVE_MS } from './constants.js';
import type { ForwardDependencies } from './dependencies.js';

export interface ReportedPlan {
  readonly entry: UpstreamEntry;
  readonly route: { readonly name: string };
  readonly model: string | undefined;
}

export class VersionReport {
  readonly #dependencies: ForwardDependencies;

  readonly #request: CallerRequest;

  readonly #entry: UpstreamEntry;

  readonly #work: RolloutWork;

  #sentAtMs = performance.now();

  #slowMs = Infinity;

  #slowTimer: NodeJS.Timeout | undefined;

  #isToldSlow = false;

  #beganAtMs: number | undefined;

  #heardAtMs = 0;

  #isPaceKnown = true;

  #bytes = 0;

  constructor(
    dependencies: ForwardDependencies,
    request: CallerRequest,
    { entry, route, model }: ReportedPlan,
  ) {
    const { service, softwareVersion, dataCentre } = entry.upstream;
    this.#dependencies = dependencies;
    this.#request = request;
    this.#entry = entry;
    const workKind = `${route.name}|${model ?? ''}`;
    this.#work = { service, softwareVersion, dataCentre, workKind };
  }

  /** A version that hangs is known to be slow before its answers come, if they ever do. */
  noteSent(): void {
    this.#sentAtMs = performance.now();
    this.#slowMs = this.#dependencies.rollouts.getSlowMs(this.#work);
    if (Number.isFinite(this.#slowMs)) {
      this.#slowTimer = setTimeout(() => this.#tellSlow(), this.#slowMs + 1);
    }
  }

  /** The answer has begun. */
  noteBegun(): void {
    const nowMs = performance.now();
    this.#beganAtMs = nowMs;
    this.#heardAtMs = nowMs;
    this.stopWaiting();
  }

  noteBytes(bytes: number): void {
    const nowMs = performance.now();
    const isStall = nowMs - this.#heardAtMs > ALIVE_MS;
    this.#heardAtMs = nowMs;
    this.#bytes += bytes;
    if (isStall) {
      this.ignorePace();
    }
    const { rollouts } = this.#dependencies;
    if (this.#isPaceKnown && !this.#isToldSlow && rollouts.isBodySlow(this.#work, this.#body)) {
      this.#isToldSlow = true;
      rollouts.noteSlowBody(this.#work, this.#body);
    }
  }

  /** The answer is whole. */
  noteWhole(): void {
    if (this.#isPaceKnown) {
      this.#dependencies.rollouts.learnBody(this.#work, this.#body);
    }
  }

  /** The caller reads slowly, or the way to the upstream was silent: the pace is not the version's. */
  ignorePace(): void {
    this.#isPaceKnown = false;
  }

  /** Nothing waits for the answer any more. */
  stopWaiting(): void {
    clearTimeout(this.#slowTimer);
  }

  /** Only what the upstream's software may be to blame for: not refusals, nor machines out of reach. */
  tell(outcome: UpstreamOutcome): void {
    if (outcome === 'failed') {
      this.#dependencies.rollouts.noteAnswer({ ...this.#work, isFailed: true });
    }
    if (outcome === 'answered' && !this.#isToldSlow) {
      this.#tellTime();
    }
  }

  /** The session's request runs, or has ended: a session lasts from the end of one request to the next. */
  noteSession(): void {
    const { session, attemptId } = this.#request.options;
    const { service, softwareVersion } = this.#work;
    if (session !== undefined) {
      const answer = { service, session, softwareVersion, request: attemptId };
      this.#dependencies.rollouts.noteSessionRun(answer);
    }
  }

  /** Where the upstream's machine is silent its software may not be to blame. */
  #tellSlow(): void {
    if (performance.now() - this.#entry.lastBytesAtMs < ALIVE_MS) {
      this.#isToldSlow = true;
      this.#tellTime();
    }
  }

  get #body(): AnswerBody {
    const nowMs = performance.now();
    return { bytes: this.#bytes, tookMs: nowMs - (this.#beganAtMs ?? nowMs) };
  }

  #tellTime(): void {
    const headMs = performance.now() - this.#sentAtMs;
    this.#isToldSlow ||= headMs > this.#slowMs;
    this.#dependencies.rollouts.noteAnswer({ ...this.#work, isFailed: false, headMs });
  }
}

/** The upstreams: what they answer, how they fail, and what they saw. */
import type { Socket } from 'node:net';
import { createRandom, pickRandom, sleep, type Random } from '@snipehaven/common';
import { hashAffinityKey } from '@snipehaven/policy';
import {
  renderChunk,
  renderEvent,
  renderHead,
  SilentForwarder,
  StandinUpstream,
  startSilentForwarder,
  type SeenRequest,
} from '@snipehaven/standins';
import { DATA_CENTRES } from '../constants.js';
import type { ArrivalRecord, DeadlyEnd, DeadlyPart, Fall, Rejection, RunRecord } from '../types.js';
import { Admission, type Room } from './admission.js';
import { renderStatement, type Statement, type Telling } from './statements.js';

export type ServiceName = 'plain' | 'models';

/** An upstream turns requests away and asks for a back-off. */
export interface Shedding {
  /** Share of the requests that are turned away. */
  readonly share: number;
  readonly backOffS: number;
}

/** While a service is brittle, its upstreams have little room and work slowly. */
export interface Brittleness {
  readonly room: Room;
  readonly rejectionsPerS: number;
  readonly workMs: number;
}

/** Of one upstream; `version` is that of its software. */
export interface BackEnd {
  readonly id: string;
  readonly service: ServiceName;
  readonly version: string;
  readonly dataCentre: string;
  readonly upstream: StandinUpstream;
  /** Daemons reach the upstream through it. */
  readonly forwarder: SilentForwarder;
  /** Share of requests that fail on it in some way of `FailureWay`. */
  failureShare: number;
  /** Requests fail on it in the ways of `garbleWays` instead. */
  isGarbling: boolean;
  /** Said in all answers. */
  statement: Statement;
  readonly admission: Admission;
  /** Of the last second, for lack of room. */
  rejections: readonly Rejection[];
  /** Undefined while it turns no requests away. */
  shedding: Shedding | undefined;
  isOpen: boolean;
}

/**
 * `late`: the last answer on the connection comes once more before this one. `status`: one that HTTP doesn't
 * know. `endless`: an event without end.
 */
type FailureWay = 'refuse' | 'fail' | 'reset' | 'cut' | 'hang' | 'late' | 'status' | 'endless';
const failureWays: readonly FailureWay[] = ['refuse', 'fail', 'reset', 'cut', 'hang'];
const garbleWays: readonly FailureWay[] = ['late', 'late', 'status', 'endless'];

const GARBLE_SHARE = 0.1;
const GARBLED_STATUS = 'HTTP/1.1 000 \r\n\r\n';

/** In chunks: callers can't always tell an answer without a length that was cut from a whole one. */
const ENDLESS_PIECE = renderChunk('data: no end here '.repeat(3_000));

const UNFRAMED_ONE_IN = 4;
const CLOSING = { Connection: 'close' };
const CHUNKED = { 'Transfer-Encoding': 'chunked' };

const PLAIN_WORK_MS = 25;
const EVENT_GAP_MS = 15;
const REJECTION_WINDOW_MS = 1_000;
const MIN_EVENTS = 3;
const EVENT_SPREAD = 14;

/** Questions that begin so end whoever runs them, after this. */
export const DEADLY_PREFIX = 'deadly';
const DEADLY_MS = 30;

/** A little always fails, as in life. */
export const USUAL_FAILURE_SHARE = 0.02;

/** The hash is signed. */
const hashModulo = (key: string, divisor: number): number =>
  Math.abs(hashAffinityKey(key)) % divisor;

/** How many events the attempt's whole stream has. */
export const countEvents = (attemptId: string): number =>
  MIN_EVENTS + hashModulo(attemptId, EVENT_SPREAD);

/** Whether the attempt's answer has neither a length nor chunks, and ends with its connection. */
const isUnframed = (attemptId: string): boolean =>
  hashModulo(`framing of ${attemptId}`, UNFRAMED_ONE_IN) === 0;

export const renderPlainBody = (attemptId: string): string => `answer of ${attemptId}`;

export const renderStreamBody = (attemptId: string): string =>
  Array.from({ length: countEvents(attemptId) }, (_, index) => renderEvent(index + 1)).join('');

export class BackEnds {
  readonly runs: RunRecord[] = [];

  readonly arrivals: ArrivalRecord[] = [];

  readonly all: BackEnd[] = [];

  readonly deadlyEnds: DeadlyEnd[] = [];

  readonly falls: Fall[] = [];

  /** Present ones only; upstreams that start meanwhile are brittle too. */
  readonly brittle = new Map<ServiceName, Brittleness>();

  readonly deadlyParts = new Map<string, DeadlyPart>();

  readonly tellings: Telling[] = [];

  #onCrash: (backEnd: BackEnd) => void = () => {};

  readonly #random: Random;

  readonly #lastAnswers = new WeakMap<Socket, string>();

  #started = 0;

  constructor(seed: number) {
    this.#random = createRandom(seed);
  }

  async start(service: ServiceName, version: string): Promise<BackEnd> {
    this.#started += 1;
    const id = `${service}-${this.#started}`;
    const upstream = new StandinUpstream((request, socket) =>
      this.#serve(backEnd, request, socket),
    );
    await upstream.start();
    const [targetAddress = '', port] = upstream.address.split(':');
    const forwarder = await startSilentForwarder({ targetAddress, targetPort: Number(port) });
    const failureShare = USUAL_FAILURE_SHARE;
    const dataCentre = DATA_CENTRES[this.#started % DATA_CENTRES.length] ?? DATA_CENTRES[0];
    const place = { id, service, version, dataCentre };
    const state = {
      failureShare,
      isGarbling: false,
      statement: {},
      admission: new Admission(),
      rejections: [],
      shedding: undefined,
      isOpen: true,
    };
    const backEnd = { ...place, ...state, upstream, forwarder };
    this.all.push(backEnd);
    return backEnd;
  }

  /** Calls back when an upstream ends by what it was sent. */
  onCrash(listener: (backEnd: BackEnd) => void): void {
    this.#onCrash = listener;
  }

  listOpen(service: ServiceName): readonly BackEnd[] {
    return this.all.filter((one) => one.isOpen && one.service === service);
  }

  stop(backEnd: BackEnd): void {
    Object.assign(backEnd, { isOpen: false });
    backEnd.upstream.stop();
    void backEnd.forwarder.stop();
  }

  #serve(backEnd: BackEnd, request: SeenRequest, socket: Socket): void {
    const attemptId = request.headers.get('x-attempt-id') ?? '';
    const { isGarbling } = backEnd;
    const failureShare = isGarbling ? GARBLE_SHARE : backEnd.failureShare;
    const way =
      this.#random.next() < failureShare
        ? pickRandom(isGarbling ? garbleWays : failureWays, this.#random)
        : undefined;
    const isUsualFailure = way !== undefined && failureShare === USUAL_FAILURE_SHARE;
    if (way === 'late') {
      socket.write(this.#lastAnswers.get(socket) ?? '');
    }
    const atMs = performance.now();
    this.arrivals.push({ attemptId, upstream: backEnd.id, atMs, isUsualFailure });
    if (request.headers.get('x-expect-instance') !== backEnd.id) {
      socket.write(renderHead(request, 421, { 'Content-Length': '0' }));
    } else if (backEnd.shedding !== undefined && this.#random.next() < backEnd.shedding.share) {
      this.#shed(backEnd, backEnd.shedding, request, socket);
    } else if (way === 'refuse') {
      this.#reject(backEnd, request, socket);
    } else if (request.body.startsWith(DEADLY_PREFIX)) {
      this.#die(backEnd, request, attemptId);
    } else {
      this.#admit(backEnd, request, socket, way);
    }
  }

  #admit(
    backEnd: BackEnd,
    request: SeenRequest,
    socket: Socket,
    way: FailureWay | undefined,
  ): void {
    const brittleness = this.brittle.get(backEnd.service);
    const run = (): Promise<void> => this.#run(backEnd, request, socket, way);
    if (brittleness === undefined) {
      void run();
    } else if (!backEnd.admission.admit(brittleness.room, run)) {
      this.#reject(backEnd, request, socket);
      this.#countRejection(backEnd, brittleness, request.headers.get('x-attempt-id') ?? '');
    }
  }

  #countRejection(backEnd: BackEnd, { rejectionsPerS }: Brittleness, attemptId: string): void {
    const nowMs = performance.now();
    const recent = backEnd.rejections.filter(({ atMs }) => atMs > nowMs - REJECTION_WINDOW_MS);
    const rejections = [...recent, { attemptId, atMs: nowMs }];
    Object.assign(backEnd, { rejections });
    if (rejections.length > rejectionsPerS && backEnd.isOpen) {
      this.falls.push({ upstream: backEnd.id, atMs: nowMs, rejections });
      this.#onCrash(backEnd);
    }
  }

  #shed(backEnd: BackEnd, { backOffS }: Shedding, request: SeenRequest, socket: Socket): void {
    const said = { ...backEnd, statement: { ...backEnd.statement, backOffS } };
    this.#reject(said, request, socket);
  }

  #reject(backEnd: BackEnd, request: SeenRequest, socket: Socket): void {
    const headers = { 'X-Not-Executed': '1', 'Content-Length': '0' };
    this.#reply(socket, this.#renderHead(backEnd, request, 503, headers));
  }

  #reply(socket: Socket, answer: string): void {
    this.#lastAnswers.set(socket, answer);
    socket.write(answer);
  }

  #renderHead(
    { id, service, statement: ownStatement }: BackEnd,
    request: SeenRequest,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): string {
    const rejectionsPerS = this.brittle.get(service)?.rejectionsPerS;
    const statement =
      rejectionsPerS === undefined ? ownStatement : { ...ownStatement, rejectionsPerS };
    const said = renderStatement(statement);
    if (Object.keys(said).length > 0) {
      const attemptId = request.headers.get('x-attempt-id') ?? '';
      this.tellings.push({ attemptId, upstream: id, atMs: performance.now(), statement });
    }
    return renderHead(request, status, { ...headers, ...said });
  }

  /** Whoever begins to run the question ends, with all that it has. */
  #die(backEnd: BackEnd, { headers, body }: SeenRequest, attemptId: string): void {
    const nowMs = performance.now();
    this.runs.push({
      attemptId,
      upstream: backEnd.id,
      startedAtMs: nowMs,
      team: headers.get('x-tenant'),
      hasKey: headers.has('authorization'),
      status: 0,
      endedAtMs: nowMs + DEADLY_MS,
      isFaulty: true,
    });
    setTimeout(() => this.#crash(backEnd, body), DEADLY_MS);
  }

  #crash(backEnd: BackEnd, cause: string): void {
    if (backEnd.isOpen) {
      this.deadlyEnds.push({ cause, upstream: backEnd.id, atMs: performance.now() });
      this.#onCrash(backEnd);
    }
  }

  #findDeadlyPart({ headers }: SeenRequest): DeadlyPart | undefined {
    const prefix = headers.get('x-prompt-prefix') ?? '';
    return prefix
      .split(',')
      .map((part) => this.deadlyParts.get(part.split(':')[0] ?? ''))
      .find((part) => part !== undefined && part.fromMs <= performance.now());
  }

  async #run(
    backEnd: BackEnd,
    request: SeenRequest,
    socket: Socket,
    way: FailureWay | undefined,
  ): Promise<void> {
    const attemptId = request.headers.get('x-attempt-id') ?? '';
    const run: RunRecord = {
      attemptId,
      upstream: backEnd.id,
      startedAtMs: performance.now(),
      team: request.headers.get('x-tenant'),
      hasKey: request.headers.has('authorization'),
      status: way === 'fail' ? 500 : 200,
      endedAtMs: undefined,
      isFaulty: way !== undefined,
    };
    this.runs.push(run);
    const deadlyPart = this.#findDeadlyPart(request);
    if (deadlyPart !== undefined) {
      run.isFaulty = true;
      setTimeout(() => {
        if (!socket.destroyed) {
          this.#crash(backEnd, deadlyPart.name);
        }
      }, deadlyPart.endsAfterMs);
    }
    const end = (): void => {
      run.endedAtMs ??= performance.now();
    };
    socket.once('close', end);
    if (way === 'hang') {
      return;
    }
    if (way === 'status') {
      socket.write(GARBLED_STATUS);
      return;
    }
    if (way === 'endless') {
      this.#flood(backEnd, request, socket);
      return;
    }
    await (backEnd.service === 'models'
      ? this.#stream(backEnd, request, socket, run, deadlyPart === undefined ? way : 'crash')
      : this.#answer(backEnd, request, socket, run, way));
    end();
    socket.off('close', end);
  }

  async #answer(
    backEnd: BackEnd,
    request: SeenRequest,
    socket: Socket,
    run: RunRecord,
    way: FailureWay | undefined,
  ): Promise<void> {
    const workMs = this.brittle.get(backEnd.service)?.workMs ?? PLAIN_WORK_MS;
    await sleep(workMs * (0.5 + this.#random.next()));
    if (socket.destroyed) {
      return;
    }
    if (way === 'reset') {
      socket.resetAndDestroy();
      return;
    }
    const body = way === 'fail' ? 'failed' : renderPlainBody(run.attemptId);
    const length = { 'Content-Length': String(body.length) };
    const head = this.#renderHead(backEnd, request, run.status, length);
    if (way === 'cut') {
      socket.end(head + body.slice(1));
    } else if (isUnframed(run.attemptId)) {
      socket.end(this.#renderHead(backEnd, request, run.status, CLOSING) + body);
    } else {
      this.#reply(socket, head + body);
    }
  }

  #flood(backEnd: BackEnd, request: SeenRequest, socket: Socket): void {
    const head = { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' };
    socket.write(this.#renderHead(backEnd, request, 200, head));
    const send = (): void => {
      while (!socket.destroyed && socket.write(ENDLESS_PIECE));
    };
    socket.on('drain', send);
    send();
  }

  async #stream(
    backEnd: BackEnd,
    request: SeenRequest,
    socket: Socket,
    run: RunRecord,
    way: FailureWay | 'crash' | undefined,
  ): Promise<void> {
    await sleep(EVENT_GAP_MS);
    if (way === 'fail') {
      socket.write(this.#renderHead(backEnd, request, 500, { 'Content-Length': '0' }));
      return;
    }
    const isClosing = isUnframed(run.attemptId);
    const render = isClosing ? renderEvent : (id: number) => renderChunk(renderEvent(id));
    socket.write(
      this.#renderHead(backEnd, request, 200, {
        'Content-Type': 'text/event-stream',
        ...(isClosing ? CLOSING : CHUNKED),
        'X-Confidence': String(hashModulo(run.attemptId, 100)),
      }),
    );
    const from = Number(request.headers.get('last-event-id') ?? 0);
    const count = countEvents(run.attemptId);
    const cutAt =
      way === undefined || way === 'late' || way === 'crash'
        ? Infinity
        : from + 1 + this.#random.nextInt(count);
    for (let id = from + 1; id <= count && !socket.destroyed; id += 1) {
      if (id >= cutAt) {
        const part = renderEvent(id).slice(0, 7);
        socket.write(isClosing ? part : renderChunk(part));
        socket.resetAndDestroy();
        return;
      }
      if (way === 'crash' && id === count) {
        return;
      }
      socket.write(render(id));
      await sleep(EVENT_GAP_MS);
    }
    if (socket.destroyed || way === 'crash') {
      return;
    }
    if (isClosing) {
      socket.end();
    } else {
      socket.write('0\r\n\r\n');
    }
  }
}

/** CONFIG: an event stream without the end of an event takes the processor from all other requests. */
import {
  RawUpstream,
  buildConfiguration,
  hasTrouble,
  renderAnswerHead,
  runCase,
  sleep,
} from '../standins/standins.mjs';

const TIMEOUT_MS = 1_000;
/** The rule asks for an answer so long after the route's timeout. */
const SLACK_MS = 500;
const STREAM_TIMEOUT_MS = 12_000;
const RUN_MS = 40;
/** Of each kind of request. */
const CALLS_PER_S = 20;
const PLAY_S = 20;
const ENDLESS_AT_S = 4;
const PIECE = Buffer.from('data: no event ends here '.repeat(2_600));

const events = [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');

const signAs = (name, headers) => ({ 'X-Response-Signature': `signed-by-${name}`, ...headers });

await runCase(process.argv[2], async (world) => {
  let isEndlessDue = false;
  const counts = { streams: 0, endless: 0, endlessBytes: 0 };

  /** Writes until the caller closes. */
  const writeWithoutEnd = (name, request, socket) => {
    counts.endless += 1;
    world.note(`${name} answers ${request.id} without end`);
    const pump = () => {
      let isTaken = true;
      while (isTaken && !socket.destroyed) {
        counts.endlessBytes += PIECE.length;
        isTaken = socket.write(PIECE);
      }
      socket.once('drain', pump);
    };
    socket.on('close', () => world.note(`closed after ${counts.endlessBytes} bytes without end`));
    pump();
  };

  const createEngine = (name) =>
    new RawUpstream(async (request, socket) => {
      counts.streams += 1;
      const type = { 'Content-Type': 'text/event-stream' };
      if (isEndlessDue) {
        isEndlessDue = false;
        socket.write(renderAnswerHead(request, 200, signAs(name, type)));
        writeWithoutEnd(name, request, socket);
        return;
      }
      await sleep(RUN_MS);
      const headers = signAs(name, { ...type, 'Content-Length': String(events.length) });
      socket.write(renderAnswerHead(request, 200, headers) + events);
    });
  const createServer = (name) =>
    new RawUpstream(async (request, socket) => {
      await sleep(RUN_MS);
      const head = renderAnswerHead(request, 200, signAs(name, { 'Content-Length': '2' }));
      socket.write(`${head}ok`);
    });
  await world.start(
    buildConfiguration([
      {
        name: 'read',
        'path-prefix': '/read/',
        kind: 'non_idempotent',
        'timeout-ms': TIMEOUT_MS,
        'target-latency-ms': 200,
        'max-attempts': 1,
        service: 'plain',
      },
      {
        name: 'note',
        'path-prefix': '/note/',
        kind: 'streaming',
        'timeout-ms': STREAM_TIMEOUT_MS,
        'target-latency-ms': 2_000,
        'target-gap-ms': 1_000,
        'max-attempts': 3,
        service: 'models',
      },
    ]),
  );
  for (const name of ['m1', 'm2', 'm3']) {
    await world.addUpstream(createEngine(name), { id: name, service: 'models' });
  }
  for (const name of ['p1', 'p2', 'p3']) {
    await world.addUpstream(createServer(name), { id: name, service: 'plain' });
  }
  await world.startDaemons(2);

  const send = async (index, kind, timeoutMs) => {
    const id = `${kind}-${index}`;
    const headers = { 'X-Deadline-Remaining': String(timeoutMs) };
    const request = { target: `/${kind}/${id}`, id, headers, body: 'x', waitMs: 25_000 };
    const answer = await world.call(index % 2, request);
    world.note(
      `caller ${id} at front-${(index % 2) + 1}: status ${answer.status}, complete ${answer.isComplete}, ` +
        `after ${answer.tookMs} ms`,
    );
    return { ...answer, kind };
  };
  const calls = [];
  for (let index = 0; index < PLAY_S * CALLS_PER_S; index += 1) {
    if (hasTrouble && index === ENDLESS_AT_S * CALLS_PER_S) {
      isEndlessDue = true;
    }
    calls.push(send(index, 'read', TIMEOUT_MS), send(index, 'note', STREAM_TIMEOUT_MS));
    await sleep(1_000 / CALLS_PER_S);
  }
  const answers = await Promise.all(calls);
  const reads = answers.filter(({ kind }) => kind === 'read');
  const isUnansweredAt = (ms) => (one) => one.status === 0 || one.tookMs > ms;
  const unanswered = reads.filter(isUnansweredAt(TIMEOUT_MS));
  const late = unanswered.filter(isUnansweredAt(TIMEOUT_MS + SLACK_MS));
  const slowestMs = Math.max(...reads.map(({ tookMs }) => tookMs));
  world.note(
    `${reads.length} reads, ${counts.endless} of ${counts.streams} streams without end; reads unanswered at ` +
      `${TIMEOUT_MS} ms: ${unanswered.length}, of these without an answer ${SLACK_MS} ms later: ${late.length}; ` +
      `slowest ${slowestMs} ms`,
  );
  return late.length > unanswered.length / 2;
});

/** TWICE and REFUSED: a late second rejection is taken for the answer to the next request. */
import {
  RawUpstream,
  buildConfiguration,
  hasTrouble,
  renderAnswerHead,
  runCase,
  sleep,
} from '../standins/standins.mjs';

const WORKERS = ['w1', 'w2', 'w3', 'w4'];
/** Half of the workers are faulty: `share` of `garble` is .5 at most. */
const FAULTY = new Set(['w1', 'w3']);
/** One in 50 answers of a faulty worker comes a second time: `x` of `garble` is .02. */
const ANSWERS_PER_EXTRA = 50;
/** The workers are faulty three times for 5 s: `for_s` of `garble` is 5. */
const FAULTY_MS = 5_000;
const FAULTY_EVERY_MS = 7_000;
const SLOTS = 4;
const RUN_MS = 60;
const CALLERS = 24;
const PLAY_MS = 20_000;

const events = [1, 2, 3].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');

await runCase(process.argv[2], async (world) => {
  const runs = new Map();
  const counts = { answers: 0, extras: 0 };
  let playsSinceMs = Infinity;
  const isFaulty = (name) => {
    const sinceMs = performance.now() - playsSinceMs;
    return hasTrouble && FAULTY.has(name) && sinceMs >= 0 && sinceMs % FAULTY_EVERY_MS < FAULTY_MS;
  };
  const createWorker = (name) => {
    let running = 0;
    let answers = 0;
    /** By connection, until the next request arrives on it. */
    const extras = new WeakMap();
    const answer = (request, socket, head, body = '') => {
      socket.write(head + body);
      answers += 1;
      counts.answers += 1;
      // The extra answer arrives late, at the point where the next response is expected.
      if (isFaulty(name) && answers % ANSWERS_PER_EXTRA === 0) {
        extras.set(socket, { id: request.id, bytes: head + body, kind: head.slice(9, 12) });
      }
    };
    return new RawUpstream(async (request, socket) => {
      const extra = extras.get(socket);
      if (extra !== undefined) {
        extras.delete(socket);
        counts.extras += 1;
        world.note(
          `${name} sends its ${extra.kind} to ${extra.id} once more, as ${request.id} arrives`,
        );
        socket.write(extra.bytes);
      }
      if (running >= SLOTS) {
        const head = renderAnswerHead(request, 503, {
          'X-Not-Executed': '1',
          'Content-Length': '0',
        });
        answer(request, socket, head);
        return;
      }
      running += 1;
      runs.set(request.id, [...(runs.get(request.id) ?? []), name]);
      world.note(`${name} runs ${request.id}`);
      await sleep(RUN_MS);
      running -= 1;
      const head = renderAnswerHead(request, 200, {
        'X-Response-Signature': `signed-by-${name}`,
        'Content-Type': 'text/event-stream',
        'Content-Length': String(events.length),
      });
      answer(request, socket, head, events);
    });
  };
  await world.start(
    buildConfiguration([
      {
        name: 'note',
        'path-prefix': '/note/',
        kind: 'streaming',
        resumable: false,
        'timeout-ms': 4_000,
        'target-latency-ms': 1_000,
        'target-gap-ms': 1_000,
        'max-attempts': 2,
        service: 'models',
      },
    ]),
  );
  for (const name of WORKERS) {
    await world.addUpstream(createWorker(name), { id: name, service: 'models', slots: SLOTS });
  }
  await world.startDaemons(2);

  const statuses = new Map();
  let attempts = 0;
  playsSinceMs = performance.now();
  const endAtMs = playsSinceMs + PLAY_MS;
  const callAgain = async (caller) => {
    while (performance.now() < endAtMs) {
      attempts += 1;
      const id = `attempt-${attempts}`;
      const answer = await world.call(caller % 2, { target: `/note/${id}`, id, body: 'x' });
      statuses.set(id, answer.status);
      world.note(`caller ${id}: status ${answer.status}, complete ${answer.isComplete}`);
      await sleep(20);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => callAgain(caller)));
  await sleep(300);

  const twice = [...runs].filter(([, workers]) => workers.length > 1);
  const refused = [...statuses].filter(
    ([id, status]) => [429, 503].includes(status) && runs.has(id),
  );
  twice.forEach(([id, workers]) => world.note(`TWICE: ${id} ran at ${workers.join(' and ')}`));
  refused.forEach(([id, status]) =>
    world.note(`REFUSED: ${id} was answered ${status} and has run`),
  );
  const refusals = [...statuses.values()].filter((status) => status === 503).length;
  world.note(
    `${attempts} attempts, ${refusals} refused, ${counts.answers} answers of workers, ` +
      `${counts.extras} extra answers, ${twice.length} ran twice, ${refused.length} refused though run`,
  );
  return twice.length > 0 || refused.length > 0;
});

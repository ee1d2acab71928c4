/** Faults of the platform and of upstreams, by the stand-ins' control. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import { controlStandin } from '@snipehaven/demo';
import type { NamedUrl } from '@snipehaven/standins';
import type { Disturbance, SoakWorld } from '../types.js';

const FAULT_MS = 3_000;
const FAULT_SPREAD_MS = 7_000;
const OUTAGE_SPREAD_MS = 15_000;
const LEAVING_MS = 7_000;
const AFTER_BLOW_MS = 3_000;

const drawMs = (random: Random): number => FAULT_MS + random.nextInt(FAULT_SPREAD_MS);

const getTableUrl = (world: SoakWorld): string => world.deployment.addresses.tableUrl ?? '';

const drawEngine = (world: SoakWorld, random: Random): NamedUrl =>
  pickRandom(world.deployment.addresses.engines, random) as NamedUrl;

const drawUpstream = (world: SoakWorld, random: Random): NamedUrl => {
  const { engines, services } = world.deployment.addresses;
  return pickRandom([...engines, ...services], random) as NamedUrl;
};

/** Sets faults of a stand-in's gate for a while. */
const setFaults = async (url: string, faults: object, durationMs: number): Promise<void> => {
  await controlStandin(url, { faults });
  await sleep(durationMs);
  await controlStandin(url, { clearFaults: true });
};

const disturbTable =
  (name: string, faults: object, extraMs: number): Disturbance =>
  async (world, random) => {
    const { facts, say } = world;
    const durationMs = drawMs(random) + random.nextInt(extraMs + 1);
    const end = facts.beginPlatformFault('all');
    facts.countOutage();
    say(`the table ${name} for ${durationMs} ms`);
    await setFaults(getTableUrl(world), faults, durationMs);
    end();
  };

export const tableOutage = disturbTable('is down', { isDown: true }, OUTAGE_SPREAD_MS);
export const tableSlow = disturbTable('is slow', { delayMs: 200, delaySpreadMs: 1_200 }, 0);
export const tableFailing = disturbTable('fails often', { errorRate: 0.5 }, 0);
export const tableLosesReplies = disturbTable(
  'loses replies',
  { replyLossRate: 0.35, lossKind: 'broken' },
  0,
);
export const tableSwallowsReplies = disturbTable(
  'swallows replies and requests',
  { replyLossRate: 0.2, requestLossRate: 0.1, lossKind: 'silent' },
  0,
);

export const tableSilence: Disturbance = async (world) => {
  world.say('all connections of the table go silent for good');
  await controlStandin(getTableUrl(world), { connections: 'silence' });
  await sleep(AFTER_BLOW_MS);
};

/** Everything of the platform at once. */
export const platformOutage: Disturbance = async ({ deployment, facts, say }, random) => {
  const { tableUrl, objectStoreUrl, vmListUrl, raterUrl, weightStoreUrl } = deployment.addresses;
  const urls = [tableUrl, objectStoreUrl, vmListUrl, raterUrl, weightStoreUrl];
  const durationMs = drawMs(random);
  const end = facts.beginPlatformFault('all');
  facts.countOutage();
  say(`the whole platform is down for ${durationMs} ms`);
  await Promise.all(urls.map((url) => setFaults(url ?? '', { isDown: true }, durationMs)));
  end();
};

export const raterOutage: Disturbance = async ({ deployment, facts, say }, random) => {
  const durationMs = drawMs(random);
  facts.countOutage();
  say(`the rater is down for ${durationMs} ms`);
  await setFaults(deployment.addresses.raterUrl ?? '', { isDown: true }, durationMs);
};

const strikeEngine =
  (name: string, control: object): Disturbance =>
  async (world, random) => {
    const engine = drawEngine(world, random);
    world.say(`${engine.name} ${name}`);
    await controlStandin(engine.url, control);
    await sleep(AFTER_BLOW_MS);
  };

export const engineRestart = strikeEngine('restarts', { restart: true });
export const engineCrash = strikeEngine('loses all streams', { crashStreams: true });
export const engineSilence = strikeEngine('is silent on its connections', {
  connections: 'silence',
});
export const engineBreak = strikeEngine('breaks its connections', { connections: 'break' });

const disturbEngine =
  (name: string, engineFaults: object, healed: object): Disturbance =>
  async (world, random) => {
    const engine = drawEngine(world, random);
    const durationMs = drawMs(random);
    world.say(`${engine.name} ${name} for ${durationMs} ms`);
    await controlStandin(engine.url, { engineFaults });
    await sleep(durationMs);
    await controlStandin(engine.url, { engineFaults: healed });
  };

export const engineCrashing = disturbEngine('crashes', { crashRate: 0.3 }, { crashRate: 0 });
export const engineDropping = disturbEngine('drops', { dropRate: 0.5 }, { dropRate: 0 });
export const engineRefusing = disturbEngine('refuses', { refuseRate: 0.9 }, { refuseRate: 0 });

export const upstreamSilence: Disturbance = async ({ deployment, say }) => {
  const { engines, services } = deployment.addresses;
  say('connections of all upstreams go silent for good');
  await Promise.all(
    [...engines, ...services].map(({ url }) => controlStandin(url, { connections: 'silence' })),
  );
  await sleep(AFTER_BLOW_MS);
};

export const serviceFailing: Disturbance = async (world, random) => {
  const service = pickRandom(world.deployment.addresses.services, random) as NamedUrl;
  const durationMs = drawMs(random);
  world.say(`${service.name} fails and refuses for ${durationMs} ms`);
  await controlStandin(service.url, { serviceFaults: { failRate: 0.3, refuseRate: 0.3 } });
  await sleep(durationMs);
  await controlStandin(service.url, { serviceFaults: { failRate: 0, refuseRate: 0 } });
};

/** The upstream says that it is leaving, and stays after all. */
export const upstreamLeaving: Disturbance = async (world, random) => {
  const upstream = drawUpstream(world, random);
  world.say(`${upstream.name} is leaving`);
  await controlStandin(upstream.url, { leaving: true });
  const fromMs = Date.now();
  await sleep(LEAVING_MS);
  world.facts.leavings.push({ upstream: upstream.name, fromMs, untilMs: Date.now() });
  await controlStandin(upstream.url, { leaving: false });
};

/** Example texts of both deployments, written for the demo. */
import { pickRandom, type Random } from '@snipehaven/common';

const crashLines = [
  'Crash when opening the inventory after the second boss, build 1187, twice in a row.',
  'Same here on the handheld, the log ends in TextureCache::evict.',
  'Happens only with the winter pack installed; removing it helps.',
  'Frame time climbs for a minute before, memory looks fine.',
  'Reproduced with a fresh save: load, pause, open the map, close it, crash.',
  'Not on build 1183. The pathfinding rewrite went in on 1184.',
  'Stack attached. Thread 4 waits on the audio mutex.',
] as const;

const permitLines = [
  'Application for an irrigation well, 640 acres, requested draw 1.2 acre-feet per acre.',
  'The neighbouring well is 420 m to the north-east and shares the sand layer.',
  'Static water level fell by 1.8 m over the last ten years at the monitoring point.',
  'The applicant asks for a variance of the spacing rule of section 12.',
  'Metering is by a propeller meter, read monthly by the district.',
  'An earlier permit for the same section was withdrawn by its holder.',
] as const;

const wellLines = [
  '0-14 m caliche and clay; 14-55 m fine sand; 55-92 m coarse sand with gravel; 92 m red bed.',
  'Pump test: 31 l/s at 6.2 m drawdown after 24 h, recovery 90 % within 5 h.',
  'Casing 400 mm to 60 m, screen 60-90 m, gravel pack throughout.',
] as const;

const lookups = [
  'Is ticket 4711 still open?',
  'Which build fixed the save-game bug?',
  'Has licence 88-231 been renewed?',
  'When is the next meeting of the district board?',
] as const;

const joinLines = (lines: readonly string[], count: number, random: Random): string =>
  Array.from({ length: count }, () => pickRandom(lines, random)).join('\n');

/** What a text is about, with how it is made. */
export const textMakers = {
  crashThread: (random: Random) =>
    `Summarise this crash thread.\n${joinLines(crashLines, 4 + random.nextInt(12), random)}`,
  triage: (random: Random) =>
    `Draft a triage note.\n${joinLines(crashLines, 2 + random.nextInt(3), random)}`,
  tag: (random: Random) =>
    `Is this a duplicate? Answer with a tag.\n${joinLines(crashLines, 2, random)}`,
  permit: (random: Random) =>
    `Review this permit draft.\n${joinLines(permitLines, 5 + random.nextInt(10), random)}`,
  wellLog: (random: Random) =>
    `Summarise this well log.\n${joinLines(wellLines, 2 + random.nextInt(2), random)}`,
  lookup: (random: Random) => pickRandom(lookups, random) ?? '',
} as const;

export type TextKind = keyof typeof textMakers;

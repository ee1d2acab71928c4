/** All disturbances by name. */
import type { Disturbance } from '../types.js';
import * as cuts from './cuts.js';
import * as operators from './operators.js';
import {
  freezeLong,
  freezeShortly,
  killAndReplace,
  stopAndReplace,
  type ProcessDisturbance,
} from './processes.js';
import * as standins from './standins.js';

/** What strikes the surroundings of the daemons; one acts at a time. */
export const surroundings = {
  isolateDataCentre: cuts.isolateDataCentre,
  cutTwoDataCentres: cuts.cutTwoDataCentres,
  cutFromPlatform: cuts.cutFromPlatform,
  silencePeers: cuts.silencePeers,
  silencePlatform: cuts.silencePlatform,
  silenceUpstreams: cuts.silenceUpstreams,
  tableOutage: standins.tableOutage,
  tableSlow: standins.tableSlow,
  tableFailing: standins.tableFailing,
  tableLosesReplies: standins.tableLosesReplies,
  tableSwallowsReplies: standins.tableSwallowsReplies,
  tableSilence: standins.tableSilence,
  platformOutage: standins.platformOutage,
  raterOutage: standins.raterOutage,
  engineRestart: standins.engineRestart,
  engineCrash: standins.engineCrash,
  engineSilence: standins.engineSilence,
  engineBreak: standins.engineBreak,
  engineCrashing: standins.engineCrashing,
  engineDropping: standins.engineDropping,
  engineRefusing: standins.engineRefusing,
  upstreamSilence: standins.upstreamSilence,
  serviceFailing: standins.serviceFailing,
  upstreamLeaving: standins.upstreamLeaving,
  operatorsRace: operators.operatorsRace,
  withdrawal: operators.withdrawal,
  withdrawalWhileCut: operators.withdrawalWhileCut,
} as const satisfies Readonly<Record<string, Disturbance>>;

export type SurroundingName = keyof typeof surroundings;

/** What strikes one daemon; one acts at a time, beside one of the surroundings. */
export const processes = {
  killAndReplace,
  stopAndReplace,
  freezeShortly,
  freezeLong,
} as const satisfies Readonly<Record<string, ProcessDisturbance>>;

export type ProcessName = keyof typeof processes;

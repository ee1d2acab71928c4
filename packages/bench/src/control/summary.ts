/** The last line of the bench: what control takes at the letter's size. */
import { SECONDS_PER_DAY, target } from './constants.js';
import { getPhase, type Fit, type Measurements } from './extrapolate.js';
import { evaluateLine } from './fitLine.js';

export interface Summary {
  readonly atDaemons: number;
  readonly cpuPct: number;
  readonly controlMb: number;
  readonly bytesPerSecond: number;
  readonly tableReadsPerSecond: number;
  readonly tableWritesPerSecond: number;
  readonly inForceP100Ms: number;
}

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

class Extrapolation {
  readonly #measurements: Measurements;

  readonly #fits: ReadonlyMap<string, Fit>;

  constructor(measurements: Measurements, fits: readonly Fit[]) {
    this.#measurements = measurements;
    this.#fits = new Map(fits.map((fit) => [fit.name, fit]));
  }

  get(name: string): number {
    return this.#find(name).atTarget;
  }

  /** What the letter's engines add to a daemon that was measured with few. */
  addEngines(field: string): number {
    const fit = this.#find(`engines ${field}`);
    const [base] = this.#measurements.byEngines;
    const atBase = base && evaluateLine(fit.line, fit.getX(base.setup));
    return Math.max(0, fit.atTarget - (atBase ?? fit.atTarget));
  }

  /** The daemon that reads the VM list pays for its data centre; this is each one's share. */
  addListedVms(field: string): number {
    const slope = Math.max(0, this.#find(`listed owner ${field}`).line.slope);
    const localDaemons = target.daemons / target.dataCentres;
    return (slope * (target.daemons + target.engines)) / localDaemons;
  }

  /** What the letter's changes add, by what one change cost during churn. */
  addChanges(field: string): number {
    const churnPerSecond = this.#getChurnRate();
    if (churnPerSecond === 0) {
      return 0;
    }
    const perChange = (this.get(`churn ${field}`) - this.get(`idle ${field}`)) / churnPerSecond;
    return (Math.max(0, perChange) * target.changesPerDay) / SECONDS_PER_DAY;
  }

  #find(name: string): Fit {
    const fit = this.#fits.get(name);
    if (fit === undefined) {
      throw new Error(`no line named ${name}`);
    }
    return fit;
  }

  #getChurnRate(): number {
    const rates = this.#measurements.bySize.map(
      (result) => getPhase(result, 'churn')?.changesPerSecond ?? 0,
    );
    return rates.reduce((sum, rate) => sum + rate, 0) / Math.max(1, rates.length);
  }
}

/**
 * What control takes of a daemon that serves no requests, with engines, VM list and changes of the letter's
 * size. Memory is what the daemon has above a process that loaded its libraries and does nothing.
 */
export const summarise = (measurements: Measurements, fits: readonly Fit[]): Summary => {
  const at = new Extrapolation(measurements, fits);
  const cpuPct =
    at.get('idle cpuPct') +
    at.addEngines('cpuPct') +
    at.addListedVms('cpuPct') +
    at.addChanges('cpuPct');
  const residentMb = at.get('idle residentMb') + at.addEngines('residentMb');
  const bytesPerSecond =
    at.get('idle peerBytesPerSecond') +
    at.addChanges('peerBytesPerSecond') +
    at.get('idle platformBytesPerSecond') +
    at.addListedVms('platformBytesPerSecond') +
    at.get('idle upstreamBytesPerSecond') +
    at.addEngines('upstreamBytesPerSecond');
  const tableWritesPerSecond =
    at.get('idle tableWritesPerSecond') + at.addChanges('tableWritesPerSecond');
  return {
    atDaemons: target.daemons,
    cpuPct: round(cpuPct, 2),
    controlMb: round(residentMb - measurements.baselines.librariesMb, 1),
    bytesPerSecond: round(bytesPerSecond, 0),
    tableReadsPerSecond: round(at.get('idle tableReadsPerSecond'), 1),
    tableWritesPerSecond: round(tableWritesPerSecond, 2),
    inForceP100Ms: round(at.get('churn inForceMaxMs'), 0),
  };
};

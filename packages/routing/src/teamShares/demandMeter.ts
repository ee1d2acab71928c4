/** Measures a team's demand on this daemon. */
import {
  DEMAND_DECAY,
  DEMAND_HEADROOM,
  MIN_DEMAND_WINDOW_MS,
  MIN_FLOW_DEMAND,
} from './constants.js';
import type { ShareAmounts, TeamDemand, TeamLimits } from './types.js';

const SECONDS_PER_DAY = 86_400;

export class DemandMeter {
  #requests = 0;

  #costMicroUsd = 0;

  #slotRefusals = 0;

  #peakRunning = 0;

  #running = 0;

  #wanted: ShareAmounts = { flow: 0, slots: 0 };

  recordArrival(costMicroUsd: number, running: number): void {
    this.#requests += 1;
    this.#costMicroUsd += costMicroUsd;
    this.#running = running;
    this.#peakRunning = Math.max(this.#peakRunning, running + 1);
  }

  recordSlotRefusal(): void {
    this.#slotRefusals += 1;
  }

  recordEnd(running: number): void {
    this.#running = running;
  }

  /** Returns the demand since the last call and resets the counters. */
  takeDemand(limits: TeamLimits, elapsedMs: number): TeamDemand {
    const flow = this.#getFlow(limits, Math.max(MIN_DEMAND_WINDOW_MS, elapsedMs));
    const slots = Math.ceil((this.#peakRunning + this.#slotRefusals) * DEMAND_HEADROOM);
    const decayed = this.#wanted.flow * DEMAND_DECAY;
    this.#wanted = {
      flow: Math.max(flow, decayed < MIN_FLOW_DEMAND ? 0 : decayed),
      slots: Math.max(slots, Math.floor(this.#wanted.slots * DEMAND_DECAY)),
    };
    this.#requests = 0;
    this.#costMicroUsd = 0;
    this.#slotRefusals = 0;
    this.#peakRunning = this.#running;
    return { wanted: this.#wanted, running: this.#running };
  }

  #getFlow(limits: TeamLimits, elapsedMs: number): number {
    const perSecond = 1_000 / elapsedMs;
    const rate = (this.#requests * perSecond) / limits.requestsPerSecond;
    const spendPerSecond = limits.spendMicroUsdPerDay / SECONDS_PER_DAY;
    const spend = (this.#costMicroUsd * perSecond) / spendPerSecond;
    return Math.max(rate, spend) * DEMAND_HEADROOM;
  }
}

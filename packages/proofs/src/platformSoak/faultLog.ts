/** When what was disturbed: promises with a time bound hold only for what was calm. */
import { CONTACT_MS } from './constants.js';

/** A VM's name, `store` or `upstreams`; others are only counted. */
export type FaultTarget = string;

interface FaultSpan {
  readonly target: FaultTarget;
  readonly name: string;
  readonly fromMs: number;
  toMs: number;
}

export class FaultLog {
  readonly #spans: FaultSpan[] = [];

  /** Returns what ends the span. */
  begin(target: FaultTarget, name: string): () => void {
    const span = { target, name, fromMs: performance.now(), toMs: Infinity };
    this.#spans.push(span);
    return () => {
      span.toMs = performance.now();
    };
  }

  /** The target counts as disturbed until the action is over, also where it fails. */
  async during(
    target: FaultTarget,
    name: string,
    action: () => Promise<void> | void,
  ): Promise<void> {
    const end = this.begin(target, name);
    try {
      await action();
    } finally {
      end();
    }
  }

  /** Whether nothing disturbed the target from a contact time before the span until its end. */
  isCalm(target: FaultTarget, fromMs: number, toMs: number): boolean {
    return !this.isDisturbed(target, fromMs - CONTACT_MS, toMs);
  }

  /** Whether something disturbed the target within the span itself. */
  isDisturbed(target: FaultTarget, fromMs: number, toMs: number): boolean {
    return this.#spans.some(
      (span) => span.target === target && span.fromMs <= toMs && span.toMs >= fromMs,
    );
  }

  /** How often each fault struck. */
  countByName(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    this.#spans.forEach(({ name }) => {
      counts[name] = (counts[name] ?? 0) + 1;
    });
    return counts;
  }
}

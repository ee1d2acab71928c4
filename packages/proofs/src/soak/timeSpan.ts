/** A span on the steady clock. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

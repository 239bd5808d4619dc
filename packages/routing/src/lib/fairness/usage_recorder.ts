/** Adds up customers' uses by second into a timeline. */
import type {SecondUsage, UsageTimeline} from './fairness_windows.js';

const NO_USAGE: SecondUsage = {requested: 0, admitted: 0, wasRefused: false};

/** @public */
export class UsageRecorder {
  private readonly usage = new Map<string, SecondUsage[]>();

  private constructor(private readonly lengthS: number) {}

  /** @param lengthS - seconds of the timeline */
  static create(lengthS: number): UsageRecorder {
    return new UsageRecorder(lengthS);
  }

  get timeline(): UsageTimeline {
    return this.usage;
  }

  /** Adds a use; `second` counts from the timeline's start. */
  add(customer: string, second: number, use: SecondUsage): void {
    let uses = this.usage.get(customer);
    if (uses === undefined) {
      uses = Array.from({length: this.lengthS}, () => NO_USAGE);
      this.usage.set(customer, uses);
    }
    const sum = uses[second];
    uses[second] = {
      requested: sum.requested + use.requested,
      admitted: sum.admitted + use.admitted,
      wasRefused: sum.wasRefused || use.wasRefused,
    };
  }
}

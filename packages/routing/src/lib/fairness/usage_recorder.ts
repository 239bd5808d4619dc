import type {SecondUsage, UsageTimeline} from './fairness_windows.js';

const NO_USAGE: SecondUsage = {requested: 0, admitted: 0, wasRefused: false};

/** Sums up customers' usage by second into a timeline. @public */
export class UsageRecorder {
  private readonly usage = new Map<string, SecondUsage[]>();

  private constructor(private readonly lengthS: number) {}

  /** @param lengthS - length of the timeline, in seconds */
  static create(lengthS: number): UsageRecorder {
    return new UsageRecorder(lengthS);
  }

  get timeline(): UsageTimeline {
    return this.usage;
  }

  /**
   * Adds usage to a second.
   *
   * @param second - counted from the timeline's start, less than its length
   */
  add(customer: string, second: number, usage: SecondUsage): void {
    let seconds = this.usage.get(customer);
    if (seconds === undefined) {
      seconds = Array.from({length: this.lengthS}, () => NO_USAGE);
      this.usage.set(customer, seconds);
    }
    const sum = seconds[second];
    seconds[second] = {
      requested: sum.requested + usage.requested,
      admitted: sum.admitted + usage.admitted,
      wasRefused: sum.wasRefused || usage.wasRefused,
    };
  }
}

/** Adds up customers' uses by second into a timeline. */
import type {SecondUse, UseTimeline} from './fairness_windows.js';

const NO_USE: SecondUse = {asked: 0, given: 0, waited: false};

/** @public */
export class UseRecorder {
  private readonly uses = new Map<string, SecondUse[]>();

  private constructor(private readonly lengthS: number) {}

  /** @param lengthS - seconds of the timeline */
  static create(lengthS: number): UseRecorder {
    return new UseRecorder(lengthS);
  }

  get timeline(): UseTimeline {
    return this.uses;
  }

  /** Adds a use; `second` counts from the timeline's start. */
  add(customer: string, second: number, use: SecondUse): void {
    let uses = this.uses.get(customer);
    if (uses === undefined) {
      uses = Array.from({length: this.lengthS}, () => NO_USE);
      this.uses.set(customer, uses);
    }
    const sum = uses[second];
    uses[second] = {
      asked: sum.asked + use.asked,
      given: sum.given + use.given,
      waited: sum.waited || use.waited,
    };
  }
}

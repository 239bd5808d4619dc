/** Customers' uses by second, added up over the logs of all instances. */
import type {SecondUse, UseTimeline} from '@applebend/routing';
import type {LogEntry} from './log_story.js';

const USE_EVENT = 'customer use';
const NO_USE: SecondUse = {asked: 0, given: 0, waited: false};

/** A timeline and the Unix second at which it starts. @public */
export interface StartedTimeline {
  readonly startS: number;
  readonly timeline: UseTimeline;
}

/** The timeline of the entries; undefined where none tells of uses. @public */
export function timelineOf(
  entries: readonly LogEntry[]
): StartedTimeline | undefined {
  const lines = entries.filter(({event}) => event === USE_EVENT);
  const seconds = lines.map(({fields}) => Number(fields['second']));
  if (seconds.length === 0) return undefined;
  const startS = seconds.reduce((a, b) => Math.min(a, b));
  const lengthS = seconds.reduce((a, b) => Math.max(a, b)) - startS + 1;
  const timeline = new Map<string, SecondUse[]>();
  for (const [index, {fields}] of lines.entries()) {
    const second = seconds[index] - startS;
    for (const use of usesOf(fields['uses'])) {
      const customer = String(use['customer']);
      let uses = timeline.get(customer);
      if (uses === undefined) {
        uses = Array.from({length: lengthS}, () => NO_USE);
        timeline.set(customer, uses);
      }
      uses[second] = add(uses[second], use);
    }
  }
  return {startS, timeline};
}

function usesOf(value: unknown): Record<string, unknown>[] {
  return Array.isArray(value) ? (value as Record<string, unknown>[]) : [];
}

function add(sum: SecondUse, use: Record<string, unknown>): SecondUse {
  return {
    asked: sum.asked + Number(use['asked']),
    given: sum.given + Number(use['given']),
    waited: sum.waited || Number(use['refusals']) > 0,
  };
}

/** Customers' uses by second, added up over the logs of all instances. */
import {UsageRecorder} from '@applebend/routing';

import type {UsageTimeline} from '@applebend/routing';
import type {LogEntry} from './log_story.js';

const USE_EVENT = 'customer use';

/** A timeline and the Unix second at which it starts. @public */
export interface StartedTimeline {
  readonly startS: number;
  readonly timeline: UsageTimeline;
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
  const recorder = UsageRecorder.create(lengthS);
  for (const [index, {fields}] of lines.entries()) {
    for (const use of usesOf(fields['uses'])) {
      recorder.add(String(use['customer']), seconds[index] - startS, {
        requested: Number(use['asked']),
        admitted: Number(use['given']),
        wasRefused: Number(use['refusals']) > 0,
      });
    }
  }
  return {startS, timeline: recorder.timeline};
}

function usesOf(value: unknown): Record<string, unknown>[] {
  return Array.isArray(value) ? (value as Record<string, unknown>[]) : [];
}

import {UsageRecorder} from '@applebend/routing';

import type {UsageTimeline} from '@applebend/routing';
import type {LogLine} from './explain_request.js';

const USAGE_EVENT = 'customer use';

/** Usage by customer and second, and the Unix second of its start. @public */
export interface DatedTimeline {
  readonly startS: number;
  readonly timeline: UsageTimeline;
}

/**
 * Adds up the usage of customers over the logs of all instances, or returns
 * undefined if the logs have none.
 *
 * @public
 */
export function usageTimelineOf(
  logLines: readonly LogLine[]
): DatedTimeline | undefined {
  const usageLines = logLines.filter(({event}) => event === USAGE_EVENT);
  const seconds = usageLines.map(({fields}) => Number(fields['second']));
  if (seconds.length === 0) return undefined;
  const startS = seconds.reduce((a, b) => Math.min(a, b));
  const lengthS = seconds.reduce((a, b) => Math.max(a, b)) - startS + 1;
  const recorder = UsageRecorder.create(lengthS);
  for (const [index, {fields}] of usageLines.entries()) {
    for (const row of usageRowsOf(fields['uses'])) {
      recorder.add(String(row['customer']), seconds[index] - startS, {
        requested: Number(row['asked']),
        admitted: Number(row['given']),
        wasRefused: Number(row['refusals']) > 0,
      });
    }
  }
  return {startS, timeline: recorder.timeline};
}

function usageRowsOf(value: unknown): Record<string, unknown>[] {
  return Array.isArray(value) ? (value as Record<string, unknown>[]) : [];
}

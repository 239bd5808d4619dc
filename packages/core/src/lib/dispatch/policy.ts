/** The dispatch policies that the settings choose from. @public */
export const POLICY_NAME = {
  dispatched: 'dispatched',
  localFair: 'local_fair',
  roundRobin: 'round_robin',
} as const;

/** @public */
export type PolicyName = (typeof POLICY_NAME)[keyof typeof POLICY_NAME];

/** How a dispatch policy schedules requests. @public */
export interface Policy {
  /** One dispatcher for all entries of the cell, or one for each entry. */
  readonly scope: 'cell' | 'entry';
  /** By the customers' service counters, or by arrival time. */
  readonly order: 'fair' | 'arrival';
  /** How a target is chosen among those with a free slot. */
  readonly placement: 'least_loaded' | 'rotation';
}

/** How each named policy schedules requests. @public */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  dispatched: {scope: 'cell', order: 'fair', placement: 'least_loaded'},
  local_fair: {scope: 'entry', order: 'fair', placement: 'least_loaded'},
  round_robin: {scope: 'entry', order: 'arrival', placement: 'rotation'},
};

/** The dispatch policies that the settings choose from. */

/** @public */
export const POLICY_NAME = {
  dispatched: 'dispatched',
  localFair: 'local_fair',
  roundRobin: 'round_robin',
} as const;

/** @public */
export type PolicyName = (typeof POLICY_NAME)[keyof typeof POLICY_NAME];

/** The choices that tell one policy from another. @public */
export interface Policy {
  /** One dispatcher for the whole cell, or each entry for itself. */
  readonly scope: 'cell' | 'entry';
  readonly order: 'fair' | 'arrival';
  readonly placement: 'least_loaded' | 'rotation';
}

/** @public */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  dispatched: {scope: 'cell', order: 'fair', placement: 'least_loaded'},
  local_fair: {scope: 'entry', order: 'fair', placement: 'least_loaded'},
  round_robin: {scope: 'entry', order: 'arrival', placement: 'rotation'},
};

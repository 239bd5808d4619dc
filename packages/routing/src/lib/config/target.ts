/**
 * States of a target. A leaving one finishes its requests and gets no new ones.
 *
 * @public
 */
export const TARGET_STATE = {ready: 'ready', leaving: 'leaving'} as const;

/** One of the states of a target. @public */
export type TargetState = (typeof TARGET_STATE)[keyof typeof TARGET_STATE];

/** A target as described by its registration. @public */
export interface Target {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Version of its software; versions have no order. */
  readonly softwareVersion: string;
  /** Number of requests that it works on at once. */
  readonly slots: number;
  readonly state: TargetState;
  /** Unix milliseconds of its start; a new value means that it restarted. */
  readonly startedAtMs: number;
  /**
   * Position of its registration among all that were written; grows when the
   * target renews it.
   */
  readonly registeredAt: number;
  /**
   * Milliseconds for which it stays cold after that registration; 0 if it is
   * warm.
   */
  readonly coldLeftMs: number;
}

/** What tells one incarnation of a target from all others. @public */
export type TargetIncarnation = Pick<Target, 'id' | 'startedAtMs'>;

/** Names one incarnation of a target. @public */
export function incarnationOf({id, startedAtMs}: TargetIncarnation): string {
  return `${id} ${startedAtMs}`;
}

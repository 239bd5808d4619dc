/** One target as its own registration describes it. */

/** @public */
export const TARGET_STATE = {ready: 'ready', leaving: 'leaving'} as const;

/** @public */
export type TargetState = (typeof TARGET_STATE)[keyof typeof TARGET_STATE];

/** A registered target. @public */
export interface Target {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: TargetState;
  /** Unix milliseconds of its start: another value is another life. */
  readonly startedAtMs: number;
}

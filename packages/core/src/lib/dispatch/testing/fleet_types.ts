import type {Announcement} from '../dispatch_types.js';

/** A request that really runs on a target. */
export interface RunningRequest {
  readonly entry: string;
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
}

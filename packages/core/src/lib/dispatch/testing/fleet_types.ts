import type {
  Announcement,
  DispatcherMessage,
  EntryMessage,
} from '../dispatch_types.js';

/** Messages under way in one direction over one session of a link. */
export interface Channel {
  readonly from: string;
  readonly to: string;
  readonly session: number;
  readonly toDispatcher: boolean;
  readonly queue: {
    sentAtMs: number;
    message: EntryMessage | DispatcherMessage;
  }[];
}

/** A request that really runs on a target. */
export interface RunningRequest {
  readonly entry: string;
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
}

/** The key of the link between two instances. */
export function linkOf(a: string, b: string): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

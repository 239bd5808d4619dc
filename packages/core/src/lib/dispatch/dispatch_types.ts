/** The words that an entry and a cell's dispatcher exchange. */
import type {TokenTimes} from './limit_controller.js';

/** A request that waits for a slot, as its entry announces it. @public */
export interface Announcement {
  readonly requestId: string;
  readonly customer: string;
  readonly className: string;
  /** Estimated weighted tokens. */
  readonly estimate: number;
  /** Identifies equal requests, so that a crashing one is recognised. */
  readonly fingerprint: string;
  /** Groups requests that share a prompt prefix. */
  readonly affinity: number;
  /** Targets that must not run it again. */
  readonly avoid: readonly string[];
  /** How long the request has waited already. */
  readonly waitedMs: number;
}

/** A granted slot that its entry still holds. @public */
export interface HeldSlot {
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
  /** Weighted tokens charged so far. */
  readonly charged: number;
}

/** A customer's service as an entry last saw it on a grant. @public */
export interface ServiceCounter {
  readonly customer: string;
  /** Weighted tokens per share. */
  readonly service: number;
}

/** How the use of a granted slot ended. @public */
export const SLOT_OUTCOME = {
  /** Not used; the request still waits. */
  returned: 'returned',
  /** Not used; the request is gone. */
  withdrawn: 'withdrawn',
  /** The answer was whole. */
  answered: 'answered',
  /** The attempt failed, and the target is still there. */
  failed: 'failed',
  /** The target could not be reached; nothing was sent. */
  unreachable: 'unreachable',
  /** The target was lost while it ran the request. */
  targetLost: 'target_lost',
} as const;

/** @public */
export type SlotOutcome = (typeof SLOT_OUTCOME)[keyof typeof SLOT_OUTCOME];

/** What an entry tells a dispatcher. @public */
export type EntryMessage =
  | {
      readonly type: 'sync';
      readonly cell: string;
      readonly waiting: readonly Announcement[];
      readonly held: readonly HeldSlot[];
      readonly marks: readonly ServiceCounter[];
    }
  | {readonly type: 'leave'; readonly cell: string}
  | {
      readonly type: 'enqueue';
      readonly cell: string;
      readonly announcement: Announcement;
    }
  | {
      readonly type: 'withdraw';
      readonly cell: string;
      readonly requestId: string;
    }
  | {
      readonly type: 'progress';
      readonly cell: string;
      readonly grantId: string;
      /** Weighted tokens used so far. */
      readonly cost: number;
    }
  | {
      readonly type: 'finished';
      readonly cell: string;
      readonly grantId: string;
      readonly outcome: SlotOutcome;
      /** Weighted tokens used in all. */
      readonly cost: number;
      readonly times?: TokenTimes | undefined;
    };

/** Why a dispatcher refuses a request. @public */
export type DispatchRefusalReason = 'queue_full' | 'quarantined';

/** What a dispatcher tells an entry. @public */
export type DispatcherMessage =
  /** It does not know the entry's state and asks for all of it. */
  | {readonly type: 'resync'; readonly cell: string}
  | {
      readonly type: 'grant';
      readonly cell: string;
      readonly requestId: string;
      readonly grantId: string;
      readonly target: string;
      /** The entry's own latest time that the dispatcher had seen. */
      readonly echoMs: number;
      readonly leaseMs: number;
      /** The customer's service after the grant. */
      readonly service: number;
    }
  | {
      readonly type: 'refuse';
      readonly cell: string;
      readonly requestId: string;
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    };

/** A waiting request inside a dispatcher. @public */
export interface QueuedRequest {
  readonly entry: string;
  readonly announcement: Announcement;
  readonly priority: number;
  readonly short: boolean;
  readonly maxWaitMs: number;
  /** The dispatcher's clock at arrival, less the time already waited. */
  readonly queuedAtMs: number;
}

/** What the configuration says of one customer's class. @public */
export interface QueueRules {
  readonly share: number;
  readonly maxQueued: number;
  readonly priority: number;
  readonly short: boolean;
  readonly maxWaitMs: number;
}

/** A target as the instance list and direct evidence show it. @public */
export interface TargetView {
  readonly id: string;
  readonly leaving: boolean;
}

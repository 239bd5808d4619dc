import type {TokenTimes} from './limit_controller.js';

/** A waiting request as its entry announces it to the dispatcher. @public */
export interface Announcement {
  readonly requestId: string;
  readonly customer: string;
  readonly className: string;
  /** Estimated cost in weighted tokens. */
  readonly estimate: number;
  /** Equal for equal requests, to recognize one that crashes targets. */
  readonly fingerprint: string;
  /** Hash of the prompt prefix; equal prefixes prefer the same target. */
  readonly affinity: number;
  /** Targets where an attempt failed; not used while the cell has others. */
  readonly avoid: readonly string[];
  /** Time the request had waited when it was announced. */
  readonly waitedMs: number;
}

/** A granted slot that an entry holds, as reported in `sync`. @public */
export interface HeldSlot {
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
  /** Weighted tokens charged so far. */
  readonly charged: number;
}

/**
 * A customer's service counter as an entry last received it with a grant. A
 * new dispatcher takes over the counters from its entries.
 *
 * @public
 */
export interface ServiceCounter {
  readonly customer: string;
  /** Weighted tokens received, divided by the customer's share. */
  readonly service: number;
}

/** How a granted slot was used. @public */
export const SLOT_OUTCOME = {
  /** Not used; the request waits for another slot. */
  returned: 'returned',
  /** Not used; the request is no longer waiting. */
  withdrawn: 'withdrawn',
  /** The target sent a complete response. */
  answered: 'answered',
  /** The attempt failed without the loss of the target. */
  failed: 'failed',
  /** The target could not be reached; no byte was sent. */
  unreachable: 'unreachable',
  /** The target was lost while it was running the request. */
  targetLost: 'target_lost',
} as const;

/** @public */
export type SlotOutcome = (typeof SLOT_OUTCOME)[keyof typeof SLOT_OUTCOME];

/** A message from an entry to a dispatcher. @public */
export type EntryMessage =
  /** The entry's complete state in the cell. */
  | {
      readonly type: 'sync';
      readonly cell: string;
      readonly waiting: readonly Announcement[];
      readonly held: readonly HeldSlot[];
      /** Counters that the entry received with its latest grants. */
      readonly marks: readonly ServiceCounter[];
    }
  /** The entry has moved to another dispatcher. */
  | {readonly type: 'leave'; readonly cell: string}
  /** A request starts to wait. */
  | {
      readonly type: 'enqueue';
      readonly cell: string;
      readonly announcement: Announcement;
    }
  /** A waiting request was cancelled. */
  | {
      readonly type: 'withdraw';
      readonly cell: string;
      readonly requestId: string;
    }
  /** A running request has used more than it was charged for. */
  | {
      readonly type: 'progress';
      readonly cell: string;
      readonly grantId: string;
      /** Weighted tokens used so far. */
      readonly cost: number;
    }
  /** A granted slot is free again. */
  | {
      readonly type: 'finished';
      readonly cell: string;
      readonly grantId: string;
      readonly outcome: SlotOutcome;
      /** Weighted tokens used in total. */
      readonly cost: number;
      /** Set for a complete response whose token times were measured. */
      readonly times?: TokenTimes | undefined;
    };

/**
 * Why a dispatcher refuses a request: the customer's queue is full, or equal
 * requests were running when targets were lost.
 *
 * @public
 */
export type DispatchRefusalReason = 'queue_full' | 'quarantined';

/** A message from a dispatcher to an entry. @public */
export type DispatcherMessage =
  /** The dispatcher does not have the entry's state and requests a `sync`. */
  | {readonly type: 'resync'; readonly cell: string}
  | {
      readonly type: 'grant';
      readonly cell: string;
      readonly requestId: string;
      readonly grantId: string;
      readonly target: string;
      /** Latest time of the entry's own clock known to the dispatcher. */
      readonly echoMs: number;
      /** The grant expires this long after `echoMs`. */
      readonly leaseMs: number;
      /** The customer's service counter after the grant. */
      readonly service: number;
    }
  | {
      readonly type: 'refuse';
      readonly cell: string;
      readonly requestId: string;
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    };

/** A waiting request in a dispatcher's queue. @public */
export interface QueuedRequest {
  readonly entry: string;
  readonly announcement: Announcement;
  /** Lower goes first within the customer's queue. */
  readonly priority: number;
  /** Whether it may use the extra slots for short calls. */
  readonly short: boolean;
  /** After this wait it goes before all that are not overdue. */
  readonly maxWaitMs: number;
  /** When it started to wait, by the dispatcher's clock. */
  readonly queuedAtMs: number;
}

/** The configured queueing rules of one customer and request class. @public */
export interface QueueRules {
  /** The customer's weight in the fair order. */
  readonly share: number;
  /** The most requests of the customer that may wait in the cell. */
  readonly maxQueued: number;
  /** Lower goes first within the customer's queue. */
  readonly priority: number;
  /** Whether the class may use the extra slots for short calls. */
  readonly short: boolean;
  /** After this wait a request goes before all that are not overdue. */
  readonly maxWaitMs: number;
}

/** A target of the cell. @public */
export interface TargetView {
  readonly id: string;
  /** Whether any instance has seen it leaving; it then gets no new grants. */
  readonly leaving: boolean;
}
